package org.wigeontally.misc;

/**
 * Source of time. Leases are judged by {@link #monotonicMs()} only; {@link #wallMs()} is
 * for what people read.
 */
public interface Clock {

	/**
	 * Returns a time that never goes back and has no meaning outside this process.
	 * @return milliseconds since an arbitrary instant
	 */
	long monotonicMs();

	/**
	 * Returns the time of day.
	 * @return milliseconds since 1970
	 */
	long wallMs();

	/**
	 * Returns the clock of the machine.
	 * @return the clock
	 */
	static Clock system() {
		return SystemClock.INSTANCE;
	}

}
