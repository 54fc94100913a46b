package org.wigeontally.misc;

/**
 * Source of time. Leases use {@link #monotonicMs()} only, because the wall clock may be
 * set back; {@link #wallMs()} is for displayed timestamps.
 */
public interface Clock {

	/**
	 * Returns the time of a clock that never goes back. Values are comparable only within
	 * this process.
	 * @return milliseconds since an arbitrary instant
	 */
	long monotonicMs();

	/**
	 * Returns the wall-clock time.
	 * @return milliseconds since 1970
	 */
	long wallMs();

	/**
	 * Returns the system clock.
	 * @return the clock
	 */
	static Clock system() {
		return SystemClock.INSTANCE;
	}

}
