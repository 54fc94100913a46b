package org.wigeontally.misc;

/**
 * A clock that only advances when told to, for tests and experiments. Threads that call
 * {@link #advance} concurrently must synchronise with each other.
 */
public final class ManualClock implements Clock {

	private volatile long nowMs;

	private ManualClock(long startMs) {
		this.nowMs = startMs;
	}

	/**
	 * Creates a clock.
	 * @param startMs initial time, in milliseconds
	 * @return the clock
	 */
	public static ManualClock startingAt(long startMs) {
		return new ManualClock(startMs);
	}

	/**
	 * Moves the clock forward.
	 * @param durationMs duration in milliseconds, not negative
	 */
	public void advance(long durationMs) {
		this.nowMs += durationMs;
	}

	@Override
	public long monotonicMs() {
		return this.nowMs;
	}

	@Override
	public long wallMs() {
		return this.nowMs;
	}

}
