package org.wigeontally.fleet;

import java.util.ArrayDeque;

/** Counts events within a sliding time window. Used by one thread. */
public final class SlidingWindowCounter {

	private final long windowMs;

	private final ArrayDeque<Long> eventTimesMs = new ArrayDeque<>();

	/**
	 * Creates a counter.
	 * @param windowMs length of the window in milliseconds
	 */
	public SlidingWindowCounter(long windowMs) {
		this.windowMs = windowMs;
	}

	/**
	 * Adds an event.
	 * @param nowMs its time in milliseconds, not before that of the last one
	 */
	public void add(long nowMs) {
		this.eventTimesMs.addLast(nowMs);
	}

	/**
	 * Returns the number of events in the window that ends now.
	 * @param nowMs current time in milliseconds
	 * @return number of events
	 */
	public int count(long nowMs) {
		while (!this.eventTimesMs.isEmpty() && this.eventTimesMs.peekFirst() <= nowMs - this.windowMs) {
			this.eventTimesMs.removeFirst();
		}
		return this.eventTimesMs.size();
	}

}
