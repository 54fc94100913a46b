package org.wigeontally.fleet;

/**
 * One entry's part of the requests that a cold backend server bears in a second. Used by
 * one thread.
 *
 * <p>
 * The load pattern: a zone comes back cold and empty, and every entry sees idle backend
 * servers at the same moment. A backend server may turn cold without a word, and entries
 * may not hear each other, so the part is fixed: the bound over all entries divided by
 * the most entries that there can be. It holds at all times; a warm engine gets less than
 * that by itself.
 */
public final class WarmupRateLimiter {

	private static final long WINDOW_MS = 1_100;

	private int maxRequestsPerWindow = Integer.MAX_VALUE;

	private final SlidingWindowCounter sentRequests = new SlidingWindowCounter(WINDOW_MS);

	private int reserved;

	private WarmupRateLimiter() {
	}

	/**
	 * Creates a share without a bound.
	 * @return the share
	 */
	public static WarmupRateLimiter create() {
		return new WarmupRateLimiter();
	}

	/**
	 * Sets the bound.
	 * @param bound requests a second that all entries together may send
	 * @param entries most entries that there can be
	 */
	public void setLimit(double requestsPerSecond, int maxEntries) {
		this.maxRequestsPerWindow = Math.max(1, (int) (requestsPerSecond / Math.max(1, maxEntries)));
	}

	/**
	 * Returns whether the share has room.
	 * @param nowMs the time
	 * @return true if a request may be sent
	 */
	public boolean hasCapacity(long nowMs) {
		return this.reserved + this.sentRequests.count(nowMs) < this.maxRequestsPerWindow;
	}

	/**
	 * Reserves room for a request that waits for its connection. After an outage many
	 * connections are opened at once, and all their requests are sent when they are
	 * there.
	 */
	public void reserve() {
		this.reserved++;
	}

	/**
	 * Gives back the room of a request that is not sent after all.
	 */
	public void release() {
		this.reserved--;
	}

	/**
	 * Counts a request for which room was reserved.
	 * @param nowMs the time
	 */
	public void recordSent(long nowMs) {
		this.reserved--;
		this.sentRequests.add(nowMs);
	}

}
