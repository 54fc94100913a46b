package org.wigeontally.fleet;

import java.util.ArrayDeque;

/** Counts events within a sliding time window. Used by one thread. */
final class SlidingWindowCounter {

	private final long windowMs;

	private final ArrayDeque<Long> eventTimesMs = new ArrayDeque<>();

	SlidingWindowCounter(long windowMs) {
		this.windowMs = windowMs;
	}

	void add(long nowMs) {
		this.eventTimesMs.addLast(nowMs);
	}

	int count(long nowMs) {
		while (!this.eventTimesMs.isEmpty() && this.eventTimesMs.peekFirst() <= nowMs - this.windowMs) {
			this.eventTimesMs.removeFirst();
		}
		return this.eventTimesMs.size();
	}

}
