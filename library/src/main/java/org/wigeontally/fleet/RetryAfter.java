package org.wigeontally.fleet;

import java.util.random.RandomGenerator;

/**
 * Computes when the caller of a rejected request should retry: when capacity is expected,
 * with jitter so that callers rejected together do not retry together, and at most after
 * a third of the caller's remaining time, because callers do not wait longer.
 */
public final class RetryAfter {

	private static final double MAX_JITTER = 0.5;

	private static final double MAX_FRACTION_OF_REMAINING_TIME = 1.0 / 3;

	private RetryAfter() {
	}

	/**
	 * Computes the delay for one caller.
	 * @param capacityInMs time until capacity is expected
	 * @param remainingMs remaining time of the caller
	 * @param random source of the jitter
	 * @return seconds
	 */
	public static double seconds(double capacityInMs, double remainingMs, RandomGenerator random) {
		return toSeconds(capacityInMs * (1 + MAX_JITTER * random.nextDouble()), remainingMs);
	}

	/**
	 * Computes the delay for one of many callers that return one after the other.
	 * @param fromMs time until the first of them returns
	 * @param lengthMs time over which they are spread, as far as callers wait
	 * @param remainingMs remaining time of the caller
	 * @param random source of the spread
	 * @return seconds
	 */
	public static double spreadSeconds(double fromMs, double lengthMs, double remainingMs, RandomGenerator random) {
		double longestMs = Math.max(0, remainingMs * MAX_FRACTION_OF_REMAINING_TIME - fromMs);
		return toSeconds(fromMs + Math.min(lengthMs, longestMs) * random.nextDouble(), remainingMs);
	}

	private static double toSeconds(double delayMs, double remainingMs) {
		double boundedMs = Math.max(0, Math.min(delayMs, remainingMs * MAX_FRACTION_OF_REMAINING_TIME));
		return Math.round(boundedMs) / 1000.0;
	}

}
