package org.wigeontally.emulator.configuration;

/**
 * One direction of a link: a queue that is drained at a rate. Used by one thread.
 */
final class Link {

	private static final double BYTES_PER_MS_AND_MBIT = 125;

	private final double bytesPerMs;

	private final double delayMs;

	private double freeAtMs;

	private long recordBytes;

	Link(double mbitPerSecond, double delayMs) {
		this.bytesPerMs = mbitPerSecond * BYTES_PER_MS_AND_MBIT;
		this.delayMs = delayMs;
	}

	/**
	 * Queues bytes.
	 * @param bytes number of bytes
	 * @param nowMs current time
	 * @return time at which they arrive at the other end
	 */
	double enqueue(int bytes, double nowMs) {
		this.freeAtMs = Math.max(this.freeAtMs, nowMs) + bytes / this.bytesPerMs;
		this.recordBytes += bytes;
		return this.freeAtMs + this.delayMs;
	}

	/**
	 * Returns when a short message arrives that is queued now. Short messages load no
	 * link.
	 * @param nowMs current time
	 * @return the time
	 */
	double messageArrivalMs(double nowMs) {
		return Math.max(this.freeAtMs, nowMs) + this.delayMs;
	}

	long recordBytes() {
		return this.recordBytes;
	}

}
