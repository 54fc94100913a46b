package org.wigeontally.admission;

import java.util.Random;

/**
 * Learns how fast places become free and derives from it how long a request would wait
 * and when a refused caller may come back.
 *
 * <p>
 * The time to come back grows with the offered load over what was taken, and is spread
 * over twice itself, so that callers who were refused together do not return together.
 * Used by the gate's thread.
 */
final class QueueWaitEstimator {

	private static final double SMOOTHING = 0.1;

	private static final long RETRY_AFTER_MIN_MS = 200;

	private static final long RETRY_AFTER_MAX_MS = 10_000;

	private final Random random;

	private double gapMs;

	private long lastFreeMs = -1;

	private double refusedShare;

	QueueWaitEstimator(Random random) {
		this.random = random;
	}

	void recordSlotReleased(long nowMs, boolean busy) {
		if (busy && this.lastFreeMs >= 0) {
			double gap = nowMs - this.lastFreeMs;
			this.gapMs = (this.gapMs == 0) ? gap : this.gapMs + SMOOTHING * (gap - this.gapMs);
		}
		this.lastFreeMs = nowMs;
	}

	void recordDecision(boolean refused) {
		this.refusedShare += SMOOTHING * ((refused ? 1 : 0) - this.refusedShare);
	}

	double expectedWaitMs(int ahead) {
		return (ahead + 1) * this.gapMs;
	}

	long retryAfterMs(int queued) {
		double overload = 1 / Math.max(0.05, 1 - this.refusedShare);
		double base = Math.max(RETRY_AFTER_MIN_MS, expectedWaitMs(queued) * overload);
		double spread = Math.min(RETRY_AFTER_MAX_MS, base) * (1 + this.random.nextDouble());
		return Math.round(spread);
	}

}
