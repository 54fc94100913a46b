package org.wigeontally.misc;

/**
 * A moment on both clocks of this process. The monotonic clock stands still while the
 * host is suspended, and the wall clock may be set; neither alone bounds the time that
 * has passed.
 *
 * @param monotonicMs reading of the monotonic clock
 * @param wallMs reading of the wall clock
 */
public record Moment(long monotonicMs, long wallMs) {

	/**
	 * Returns the current moment.
	 * @param clock source of time
	 * @return the moment
	 */
	public static Moment now(Clock clock) {
		return new Moment(clock.monotonicMs(), clock.wallMs());
	}

	/**
	 * Returns how long ago this moment may be.
	 * @param now the current moment
	 * @return the longest time that the two clocks allow, milliseconds
	 */
	public long maxAgeMs(Moment now) {
		return Math.max(now.monotonicMs - this.monotonicMs, Math.abs(now.wallMs - this.wallMs));
	}

}
