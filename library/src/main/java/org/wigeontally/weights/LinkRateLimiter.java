package org.wigeontally.weights;

/**
 * Token bucket for one direction of a link. Transfers of weights wait until tokens are
 * available. Live requests consume tokens without waiting, and transfers of weights wait
 * longer in turn, so live traffic keeps its share of the link. A rate of 0 means no
 * limit. Thread-safe.
 */
public final class LinkRateLimiter {

	/**
	 * Longest idle time that a burst makes up for. A burst fills the queue of the link
	 * and delays the first events of live streams, so it only has to compensate for late
	 * timers.
	 */
	private static final double DEFAULT_BURST_MS = 25;

	private double bytesPerMs;

	private final double burstMs;

	private double nextFreeMs;

	private double nextUrgentMs;

	private LinkRateLimiter(double bytesPerMs, double burstMs) {
		this.bytesPerMs = bytesPerMs;
		this.burstMs = burstMs;
	}

	/**
	 * Creates a limiter with the default burst.
	 * @param kbps rate in kbit/s; 0 for no limit
	 * @return the limiter
	 */
	public static LinkRateLimiter ofKbps(double kbps) {
		return ofKbps(kbps, DEFAULT_BURST_MS);
	}

	/**
	 * Creates a limiter.
	 * @param kbps rate in kbit/s; 0 for no limit
	 * @param burstMs longest idle time that a burst makes up for, in milliseconds
	 * @return the limiter
	 */
	public static LinkRateLimiter ofKbps(double kbps, double burstMs) {
		return new LinkRateLimiter(kbps / 8, burstMs);
	}

	/**
	 * Sets the rate.
	 * @param kbps rate in kbit/s; 0 for no limit
	 */
	public synchronized void setRateKbps(double kbps) {
		this.bytesPerMs = kbps / 8;
	}

	/**
	 * Reserves tokens for a transfer of weights.
	 * @param bytes number of bytes
	 * @param nowMs current time in milliseconds
	 * @return milliseconds to wait before the bytes may be sent
	 */
	public synchronized double reserve(int bytes, double nowMs) {
		if (this.bytesPerMs <= 0) {
			return 0;
		}
		this.nextFreeMs = Math.max(this.nextFreeMs, nowMs - this.burstMs) + bytes / this.bytesPerMs;
		return Math.max(0, this.nextFreeMs - nowMs);
	}

	/**
	 * Reserves tokens for weights that other hosts are waiting for. Such a transfer waits
	 * only for earlier urgent ones.
	 * @param bytes number of bytes
	 * @param nowMs current time in milliseconds
	 * @return milliseconds to wait before the bytes may be sent
	 */
	public synchronized double reserveUrgent(int bytes, double nowMs) {
		if (this.bytesPerMs <= 0) {
			return 0;
		}
		this.nextUrgentMs = Math.max(this.nextUrgentMs, nowMs - this.burstMs) + bytes / this.bytesPerMs;
		recordLiveTraffic(bytes, nowMs);
		return Math.max(0, this.nextUrgentMs - nowMs);
	}

	/**
	 * Consumes tokens for bytes of live requests, which do not wait.
	 * @param bytes number of bytes
	 * @param nowMs current time in milliseconds
	 */
	public synchronized void recordLiveTraffic(int bytes, double nowMs) {
		if (this.bytesPerMs > 0) {
			this.nextFreeMs = Math.max(this.nextFreeMs, nowMs - this.burstMs) + bytes / this.bytesPerMs;
		}
	}

}
