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
public final class RetryBudgetShare {

	/** Part of the allowance that is used; the rest covers windows that differ. */
	private static final double USED_FRACTION = 0.8;

	private final double ratio;

	private final double slack;

	private final SlidingWindowCounter requests;

	private final SlidingWindowCounter retries;

	private int maxEntries = 1;

	private RetryBudgetShare(double ratio, double slack, long windowMs) {
		this.ratio = ratio;
		this.slack = slack;
		this.requests = new SlidingWindowCounter(windowMs);
		this.retries = new SlidingWindowCounter(windowMs);
	}

	/**
	 * Creates the allowance of one service.
	 * @param ratio repeats for each request
	 * @param slack repeats beside them, for all entries
	 * @param windowMs length of the window
	 * @return the allowance, for one entry
	 */
	public static RetryBudgetShare of(double ratio, double slack, long windowMs) {
		return new RetryBudgetShare(ratio * USED_FRACTION, slack * USED_FRACTION, windowMs);
	}

	/**
	 * Sets the number of entries that share the slack.
	 * @param most most entries that there can be
	 * @return the allowance
	 */
	public RetryBudgetShare setMaxEntries(int entries) {
		this.maxEntries = Math.max(1, entries);
		return this;
	}

	/**
	 * Counts a caller's request.
	 * @param nowMs the time
	 */
	public void recordRequest(long nowMs) {
		this.requests.add(nowMs);
		this.requests.count(nowMs);
	}

	/**
	 * Takes one repeat, if there is one.
	 * @param nowMs the time
	 * @return true if the repeat may be sent
	 */
	public boolean tryAcquireRetry(long nowMs) {
		double maxRetries = this.ratio * this.requests.count(nowMs) + this.slack / this.maxEntries;
		if (this.retries.count(nowMs) + 1 > maxRetries) {
			return false;
		}
		this.retries.add(nowMs);
		return true;
	}

}
