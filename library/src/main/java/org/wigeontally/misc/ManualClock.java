package org.wigeontally.misc;

/**
 * A clock that stands still until it is moved, for tests and experiments. Not safe for
 * use by several threads at once without a lock of their own.
 */
public final class ManualClock implements Clock {

	private volatile long nowMs;

	private ManualClock(long startMs) {
		this.nowMs = startMs;
	}

	/**
	 * Creates a clock.
	 * @param startMs first time shown, in milliseconds
	 * @return the clock
	 */
	public static ManualClock startingAt(long startMs) {
		return new ManualClock(startMs);
	}

	/**
	 * Moves the clock forward.
	 * @param durationMs milliseconds, not negative
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
