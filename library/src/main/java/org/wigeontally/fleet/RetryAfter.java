package org.wigeontally.fleet;

import java.util.random.RandomGenerator;

/**
 * Decides when a caller that is turned away shall come back: when room is expected,
 * spread so that those turned away together do not return together, and no later than a
 * third of the time that the caller has left, since callers wait no longer than that.
 */
public final class RetryAfter {

	private static final double SPREAD = 0.5;

	private static final double MOST_OF_TIME_LEFT = 1.0 / 3;

	private RetryAfter() {
	}

	/**
	 * Decides on one caller.
	 * @param roomInMs time until room is expected
	 * @param leftMs time that the caller has left
	 * @param random source of the spread
	 * @return seconds
	 */
	public static double seconds(double roomInMs, double leftMs, RandomGenerator random) {
		double spread = roomInMs * (1 + SPREAD * random.nextDouble());
		double ms = Math.max(0, Math.min(spread, leftMs * MOST_OF_TIME_LEFT));
		return Math.round(ms) / 1000.0;
	}

}
