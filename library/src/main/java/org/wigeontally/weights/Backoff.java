package org.wigeontally.weights;

import java.util.Random;

/**
 * Exponential backoff with full jitter. Used by one thread.
 */
final class Backoff {

	private final long initialMs;

	private final long maxMs;

	private long delayMs;

	private long nextAttemptMs = Long.MIN_VALUE;

	Backoff(long initialMs, long maxMs) {
		this.initialMs = initialMs;
		this.maxMs = maxMs;
		this.delayMs = initialMs;
	}

	boolean hasElapsed(long nowMs) {
		return nowMs >= this.nextAttemptMs;
	}

	void recordFailure(long nowMs, Random random) {
		this.nextAttemptMs = nowMs + this.delayMs / 2 + (long) (this.delayMs * random.nextDouble());
		this.delayMs = Math.min(this.maxMs, this.delayMs * 2);
	}

	void pauseFor(long nowMs, long pauseMs, Random random) {
		this.nextAttemptMs = Math.max(this.nextAttemptMs, nowMs + pauseMs / 2 + (long) (pauseMs * random.nextDouble()));
	}

	void reset() {
		this.delayMs = this.initialMs;
	}

}
