package org.wigeontally.fleet;

/**
 * Limits the rate of requests that one entry sends to a cold backend server. Used by one
 * thread.
 *
 * <p>
 * When an availability zone returns, its backend servers are cold and idle, and all
 * entries select them at the same time. A backend server can become cold without notice,
 * and entries may be unable to reach each other. The limit is therefore a share of the
 * warm-up rate of the backend server (see {@link WarmupShare}), and it applies at all
 * times. A warm engine stays below it without the limit.
 */
public final class WarmupRateLimiter {

	private static final long WINDOW_MS = 1_100;

	private int maxRequestsPerWindow = Integer.MAX_VALUE;

	private final SlidingWindowCounter sentRequests = new SlidingWindowCounter(WINDOW_MS);

	private int reserved;

	private WarmupRateLimiter() {
	}

	/**
	 * Creates a limiter without a limit.
	 * @return the limiter
	 */
	public static WarmupRateLimiter create() {
		return new WarmupRateLimiter();
	}

	/**
	 * Sets the limit.
	 * @param requestsPerSecond requests per second that this entry may send
	 */
	public void setLimit(int requestsPerSecond) {
		this.maxRequestsPerWindow = requestsPerSecond;
	}

	/**
	 * Returns whether another request may be sent.
	 * @param nowMs current time in milliseconds
	 * @return true if the limit is not reached
	 */
	public boolean hasCapacity(long nowMs) {
		return this.reserved + this.sentRequests.count(nowMs) < this.maxRequestsPerWindow;
	}

	/**
	 * Reserves capacity for a request that waits for its connection. After an outage many
	 * connections are opened at once, and their requests are all sent as soon as the
	 * connections are established.
	 */
	public void reserve() {
		this.reserved++;
	}

	/** Releases the reservation of a request that is not sent. */
	public void release() {
		this.reserved--;
	}

	/**
	 * Records that a request with a reservation was sent.
	 * @param nowMs current time in milliseconds
	 */
	public void recordSent(long nowMs) {
		this.reserved--;
		this.sentRequests.add(nowMs);
	}

}
