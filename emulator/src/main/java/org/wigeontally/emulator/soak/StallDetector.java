package org.wigeontally.emulator.soak;

import io.vertx.core.Vertx;

/**
 * Measures for how long the event loop of the stand-ins and callers was held up. While it
 * is, all of them are silent, which is no disruption that a soak has planned.
 * Thread-safe.
 */
final class StallDetector {

	private static final long INTERVAL_MS = 20;

	private long lastMs = SoakHistory.nowMs();

	private volatile long longestMs;

	private StallDetector() {
	}

	static StallDetector start(Vertx vertx) {
		StallDetector detector = new StallDetector();
		vertx.setPeriodic(INTERVAL_MS, (id) -> detector.tick());
		return detector;
	}

	private void tick() {
		long nowMs = SoakHistory.nowMs();
		this.longestMs = Math.max(this.longestMs, nowMs - this.lastMs - INTERVAL_MS);
		this.lastMs = nowMs;
	}

	long longestMs() {
		return this.longestMs;
	}

}
