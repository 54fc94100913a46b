package org.wigeontally.fleet;

import java.util.random.RandomGenerator;

/**
 * Decides when a caller that is turned away shall come back: when room is expected,
 * spread so that those turned away together do not return together, and no later than a
 * third of the time that the caller has left, since callers wait no longer than that.
 */
public final class RetryAfter {

	private static final double MAX_JITTER = 0.5;

	private static final double MAX_FRACTION_OF_REMAINING_TIME = 1.0 / 3;

	private RetryAfter() {
	}

	/**
	 * Decides on one caller.
	 * @param roomInMs time until room is expected
	 * @param leftMs time that the caller has left
	 * @param random source of the spread
	 * @return seconds
	 */
	public static double seconds(double capacityInMs, double remainingMs, RandomGenerator random) {
		double jitteredMs = capacityInMs * (1 + MAX_JITTER * random.nextDouble());
		double delayMs = Math.max(0, Math.min(jitteredMs, remainingMs * MAX_FRACTION_OF_REMAINING_TIME));
		return Math.round(delayMs) / 1000.0;
	}

}
