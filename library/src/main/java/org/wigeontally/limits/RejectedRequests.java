package org.wigeontally.limits;

import org.wigeontally.fleet.SlidingWindowCounter;

/**
 * Requests that this entry rejected lately because the limits of all backend servers of a
 * service were used up. Used by one thread.
 */
public final class RejectedRequests {

	private static final long WINDOW_MS = 1_000;

	private static final double MS_PER_SECOND = 1000;

	private final SlidingWindowCounter rejected = new SlidingWindowCounter(WINDOW_MS);

	private RejectedRequests() {
	}

	/**
	 * Creates an empty record.
	 * @return the record
	 */
	public static RejectedRequests create() {
		return new RejectedRequests();
	}

	/**
	 * Records a rejected request and estimates how long the limits take to admit all that
	 * were rejected in the last second. Their callers return spread over that time.
	 * @param totalPerSecond sum of the limits
	 * @param entries number of entries, which are assumed to reject as many
	 * @param nowMs current time in milliseconds
	 * @return milliseconds
	 */
	public double record(double totalPerSecond, int entries, long nowMs) {
		this.rejected.add(nowMs);
		return this.rejected.count(nowMs) * entries / totalPerSecond * MS_PER_SECOND;
	}

}
