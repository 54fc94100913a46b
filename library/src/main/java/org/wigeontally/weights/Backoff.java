package org.wigeontally.weights;

import java.util.Random;

/**
 * Exponential backoff with full jitter. Used by one thread.
 */
final class Backoff {

	private final long firstMs;

	private final long mostMs;

	private long stepMs;

	private long untilMs = Long.MIN_VALUE;

	Backoff(long firstMs, long mostMs) {
		this.firstMs = firstMs;
		this.mostMs = mostMs;
		this.stepMs = firstMs;
	}

	boolean open(long nowMs) {
		return nowMs >= this.untilMs;
	}

	void failed(long nowMs, Random random) {
		this.untilMs = nowMs + this.stepMs / 2 + (long) (this.stepMs * random.nextDouble());
		this.stepMs = Math.min(this.mostMs, this.stepMs * 2);
	}

	void pause(long nowMs, long ms, Random random) {
		this.untilMs = Math.max(this.untilMs, nowMs + ms / 2 + (long) (ms * random.nextDouble()));
	}

	void succeeded() {
		this.stepMs = this.firstMs;
	}

}
