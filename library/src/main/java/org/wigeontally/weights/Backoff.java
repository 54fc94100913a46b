package org.wigeontally.weights;

import java.util.Random;

/**
 * Exponential backoff with jitter: a delay is between half and one and a half times its
 * nominal value. Not thread-safe.
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

	// Returns whether the next attempt may start.
	boolean hasElapsed(long nowMs) {
		return nowMs >= this.nextAttemptMs;
	}

	// Attempts that were under way together often fail together. Only the first of their
	// failures counts.
	void recordFailure(long nowMs, Random random) {
		if (!hasElapsed(nowMs)) {
			return;
		}
		this.nextAttemptMs = nowMs + this.delayMs / 2 + (long) (this.delayMs * random.nextDouble());
		this.delayMs = Math.min(this.maxMs, this.delayMs * 2);
	}

	// Delays the next attempt by a jittered pause without increasing the backoff.
	void pauseFor(long nowMs, long pauseMs, Random random) {
		this.nextAttemptMs = Math.max(this.nextAttemptMs, nowMs + pauseMs / 2 + (long) (pauseMs * random.nextDouble()));
	}

	void reset() {
		this.delayMs = this.initialMs;
	}

}
