package org.wigeontally.fleet;

/**
 * One entry's part of the repeats that all entries together may send to a service in a
 * window. Used by one thread.
 *
 * <p>
 * The load pattern: backend servers fail many requests at once and callers come back by
 * themselves; repeats on top would multiply the load. The share of the entry's own
 * requests is safe whatever the other entries do, since these shares add up. The slack is
 * divided by a number of entries that is not exceeded, so that entries that cannot hear
 * each other stay within it too.
 */
public final class RetryAllowance {

	/** Part of the allowance that is used; the rest covers windows that differ. */
	private static final double USED_PART = 0.8;

	private final double ratio;

	private final double slackPart;

	private final SlidingCount requests;

	private final SlidingCount repeats;

	private RetryAllowance(double ratio, double slackPart, long windowMs) {
		this.ratio = ratio;
		this.slackPart = slackPart;
		this.requests = new SlidingCount(windowMs);
		this.repeats = new SlidingCount(windowMs);
	}

	/**
	 * Creates the allowance of one service.
	 * @param ratio repeats for each request
	 * @param slack repeats beside them, for all entries
	 * @param entries most entries that share the slack
	 * @param windowMs length of the window
	 * @return the allowance
	 */
	public static RetryAllowance of(double ratio, double slack, int entries, long windowMs) {
		return new RetryAllowance(ratio * USED_PART, slack * USED_PART / Math.max(1, entries), windowMs);
	}

	/**
	 * Counts a caller's request.
	 * @param nowMs the time
	 */
	public void request(long nowMs) {
		this.requests.add(nowMs);
		this.requests.count(nowMs);
	}

	/**
	 * Takes one repeat, if there is one.
	 * @param nowMs the time
	 * @return true if the repeat may be sent
	 */
	public boolean tryRepeat(long nowMs) {
		double most = this.ratio * this.requests.count(nowMs) + this.slackPart;
		if (this.repeats.count(nowMs) + 1 > most) {
			return false;
		}
		this.repeats.add(nowMs);
		return true;
	}

}
