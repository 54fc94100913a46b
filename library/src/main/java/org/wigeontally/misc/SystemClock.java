package org.wigeontally.misc;

import java.util.concurrent.TimeUnit;

/**
 * The system clock.
 */
final class SystemClock implements Clock {

	static final SystemClock INSTANCE = new SystemClock();

	private SystemClock() {
	}

	@Override
	public long monotonicMs() {
		return TimeUnit.NANOSECONDS.toMillis(System.nanoTime());
	}

	@Override
	public long wallMs() {
		return System.currentTimeMillis();
	}

}
