package org.wigeontally.weights;

/**
 * Token bucket of one direction of a link. Weights wait for their turn; live requests
 * take theirs at once and weights wait longer for it, so live traffic keeps its share. A
 * rate of 0 means no limit. May be used from any thread.
 */
public final class LinkRateLimiter {

	/**
	 * Longest pause that is made up for. A burst waits in the queue of the link, and the
	 * first events of live streams behind it; a late timer is made up for.
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
	 * Creates a budget.
	 * @param kbps rate in kbit/s; 0 for no limit
	 * @return the budget
	 */
	public static LinkRateLimiter ofKbps(double kbps) {
		return ofKbps(kbps, DEFAULT_BURST_MS);
	}

	/**
	 * Creates a budget.
	 * @param kbps rate in kbit/s; 0 for no limit
	 * @param burstMs idle time that may be made up for, in ms
	 * @return the budget
	 */
	public static LinkRateLimiter ofKbps(double kbps, double burstMs) {
		return new LinkRateLimiter(kbps / 8, burstMs);
	}

	/**
	 * Changes the rate.
	 * @param kbps rate in kbit/s; 0 for no limit
	 */
	public synchronized void setRateKbps(double kbps) {
		this.bytesPerMs = kbps / 8;
	}

	/**
	 * Reserves bytes for weights.
	 * @param bytes number of bytes
	 * @param nowMs current time
	 * @return milliseconds to wait before they may be sent
	 */
	public synchronized double reserve(int bytes, double nowMs) {
		if (this.bytesPerMs <= 0) {
			return 0;
		}
		this.nextFreeMs = Math.max(this.nextFreeMs, nowMs - this.burstMs) + bytes / this.bytesPerMs;
		return Math.max(0, this.nextFreeMs - nowMs);
	}

	/**
	 * Reserves bytes for weights that others wait for; they only wait for their like.
	 * @param bytes number of bytes
	 * @param nowMs current time
	 * @return milliseconds to wait before they may be sent
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
	 * Takes note of bytes of live requests, which do not wait.
	 * @param bytes number of bytes
	 * @param nowMs current time
	 */
	public synchronized void recordLiveTraffic(int bytes, double nowMs) {
		if (this.bytesPerMs > 0) {
			this.nextFreeMs = Math.max(this.nextFreeMs, nowMs - this.burstMs) + bytes / this.bytesPerMs;
		}
	}

}
