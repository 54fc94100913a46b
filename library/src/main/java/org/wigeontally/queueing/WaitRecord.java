package org.wigeontally.queueing;

/**
 * Corrects the predicted rate of slots of one rank by the waits that ended. The
 * correction is stable when as many waits end with a placement as were predicted. It is
 * forgotten with time, since bursts that it was learned in end. Used by one thread.
 */
final class WaitRecord {

	/** Change of the logarithm of the correction by a wait that ended unexpectedly. */
	private static final double LEARNING_STEP = 0.35;

	/**
	 * Time in which a correction decreases by a factor of e; about the length of a burst.
	 */
	private static final double MEMORY_MS = 4_000;

	/** Bounds the correction to factors from 0.1 to 2. */
	private static final double MIN_LOG = Math.log(0.1);

	private static final double MAX_LOG = Math.log(2);

	private double logCorrection;

	private long changedAtMs;

	private WaitRecord() {
	}

	static WaitRecord create() {
		return new WaitRecord();
	}

	double correction(long nowMs) {
		return Math.exp(logCorrection(nowMs));
	}

	private double logCorrection(long nowMs) {
		return this.logCorrection * Math.exp(-Math.max(0, nowMs - this.changedAtMs) / MEMORY_MS);
	}

	void recordEnd(double predicted, boolean placed, long nowMs) {
		double surprise = (placed ? 1 : 0) - predicted;
		double changed = logCorrection(nowMs) + LEARNING_STEP * surprise;
		this.logCorrection = Math.max(MIN_LOG, Math.min(changed, MAX_LOG));
		this.changedAtMs = nowMs;
	}

}
