package org.wigeontally.weights;

/**
 * Token bucket of one direction of a link. Weights wait for their turn; live requests
 * take theirs at once and weights wait longer for it, so live traffic keeps its share. A
 * rate of 0 means no limit. May be used from any thread.
 */
public final class LinkBudget {

	private static final double BURST_MS = 10;

	private final double bytesPerMs;

	private double nextFreeMs;

	private LinkBudget(double bytesPerMs) {
		this.bytesPerMs = bytesPerMs;
	}

	/**
	 * Creates a budget.
	 * @param kbps rate in kbit/s; 0 for no limit
	 * @return the budget
	 */
	public static LinkBudget ofKbps(double kbps) {
		return new LinkBudget(kbps / 8);
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
		this.nextFreeMs = Math.max(this.nextFreeMs, nowMs - BURST_MS) + bytes / this.bytesPerMs;
		return Math.max(0, this.nextFreeMs - nowMs);
	}

	/**
	 * Takes note of bytes of live requests, which do not wait.
	 * @param bytes number of bytes
	 * @param nowMs current time
	 */
	public synchronized void spend(int bytes, double nowMs) {
		if (this.bytesPerMs > 0) {
			this.nextFreeMs = Math.max(this.nextFreeMs, nowMs - BURST_MS) + bytes / this.bytesPerMs;
		}
	}

}
