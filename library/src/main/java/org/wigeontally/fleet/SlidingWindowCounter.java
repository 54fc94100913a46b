package org.wigeontally.fleet;

import java.util.ArrayDeque;

/**
 * Counts events within a window that slides. Used by one thread.
 */
final class SlidingWindowCounter {

	private final long windowMs;

	private final ArrayDeque<Long> times = new ArrayDeque<>();

	SlidingWindowCounter(long windowMs) {
		this.windowMs = windowMs;
	}

	void add(long nowMs) {
		this.times.addLast(nowMs);
	}

	int count(long nowMs) {
		while (!this.times.isEmpty() && this.times.peekFirst() <= nowMs - this.windowMs) {
			this.times.removeFirst();
		}
		return this.times.size();
	}

}
