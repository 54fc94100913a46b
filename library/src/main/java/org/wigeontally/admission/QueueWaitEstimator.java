package org.wigeontally.admission;

import java.util.Random;

/**
 * Measures the rate at which slots are released and derives the expected queueing time of
 * a request and the retry delay of a refused request from it.
 *
 * <p>
 * The retry delay grows with the ratio of offered to admitted load. It is drawn uniformly
 * between one and two times its base value, so that callers that were refused together do
 * not retry together. Not thread-safe; calls are serialised by the owner of the
 * controller.
 */
final class QueueWaitEstimator {

	private static final double SMOOTHING = 0.1;

	private static final long RETRY_AFTER_MIN_MS = 200;

	private static final long RETRY_AFTER_MAX_MS = 10_000;

	private final Random random;

	private double meanReleaseIntervalMs;

	private long lastReleaseMs = -1;

	private double refusalRate;

	QueueWaitEstimator(Random random) {
		this.random = random;
	}

	void recordSlotReleased(long nowMs, boolean busy) {
		if (busy && this.lastReleaseMs >= 0) {
			double intervalMs = nowMs - this.lastReleaseMs;
			this.meanReleaseIntervalMs = (this.meanReleaseIntervalMs == 0) ? intervalMs
					: this.meanReleaseIntervalMs + SMOOTHING * (intervalMs - this.meanReleaseIntervalMs);
		}
		this.lastReleaseMs = nowMs;
	}

	void recordDecision(boolean refused) {
		this.refusalRate += SMOOTHING * ((refused ? 1 : 0) - this.refusalRate);
	}

	double expectedWaitMs(int requestsAhead) {
		return (requestsAhead + 1) * this.meanReleaseIntervalMs;
	}

	long retryAfterMs(int queued) {
		double overloadFactor = 1 / Math.max(0.05, 1 - this.refusalRate);
		double baseMs = Math.max(RETRY_AFTER_MIN_MS, expectedWaitMs(queued) * overloadFactor);
		double jitteredMs = Math.min(RETRY_AFTER_MAX_MS, baseMs) * (1 + this.random.nextDouble());
		return Math.round(jitteredMs);
	}

}
