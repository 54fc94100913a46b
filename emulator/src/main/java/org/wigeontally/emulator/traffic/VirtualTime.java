package org.wigeontally.emulator.traffic;

import java.util.Comparator;
import java.util.PriorityQueue;

import org.wigeontally.misc.Clock;

/**
 * A clock that jumps from one scheduled event to the next. Events of the same instant run
 * in the order in which they were scheduled. Used by one thread.
 */
public final class VirtualTime implements Clock {

	private final PriorityQueue<Event> events = new PriorityQueue<>(
			Comparator.comparingDouble(Event::atMs).thenComparingLong(Event::order));

	private double nowMs;

	private long order;

	private VirtualTime() {
	}

	/**
	 * Creates a clock at 0.
	 * @return the clock
	 */
	public static VirtualTime create() {
		return new VirtualTime();
	}

	/**
	 * Schedules an event.
	 * @param delayMs time from now, not negative
	 * @param action what happens
	 */
	public void after(double delayMs, Runnable action) {
		this.events.add(new Event(this.nowMs + delayMs, this.order++, action));
	}

	/**
	 * Runs events up to an instant.
	 * @param endMs the instant
	 */
	public void runUntil(double endMs) {
		while (!this.events.isEmpty() && this.events.peek().atMs <= endMs) {
			Event event = this.events.poll();
			this.nowMs = event.atMs;
			event.action.run();
		}
		this.nowMs = endMs;
	}

	/**
	 * Returns the time with its fraction.
	 * @return milliseconds since the start
	 */
	public double nowMs() {
		return this.nowMs;
	}

	@Override
	public long monotonicMs() {
		return (long) this.nowMs;
	}

	@Override
	public long wallMs() {
		return (long) this.nowMs;
	}

	private record Event(double atMs, long order, Runnable action) {

	}

}
