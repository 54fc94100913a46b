package org.wigeontally.limits;

import java.util.ArrayDeque;
import java.util.Deque;

/**
 * Requests that this entry rejected lately because the limits of all backend servers of a
 * service were used up. Used by one thread.
 */
public final class RejectedRequests {

	private static final long WINDOW_MS = 1_000;

	private static final double MS_PER_SECOND = 1000;

	private final Deque<Long> rejectedAtMs = new ArrayDeque<>();

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
		while (!this.rejectedAtMs.isEmpty() && nowMs - this.rejectedAtMs.peekFirst() >= WINDOW_MS) {
			this.rejectedAtMs.removeFirst();
		}
		this.rejectedAtMs.addLast(nowMs);
		return this.rejectedAtMs.size() * entries / totalPerSecond * MS_PER_SECOND;
	}

}
