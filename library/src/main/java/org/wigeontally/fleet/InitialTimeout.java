package org.wigeontally.fleet;

import java.util.Arrays;

/**
 * Estimates the timeout with which the callers of a route begin, from what their requests
 * say is left of it.
 *
 * <p>
 * Load pattern: callers start with about the same timeout, and those that retry have less
 * of it left. The longest timeout would be the initial one, but it comes from outside: a
 * single caller with a timeout of an hour would make all others look like late retries.
 * The longest ones, up to an eighth of the latest requests, are therefore ignored. Used
 * by one thread.
 */
public final class InitialTimeout {

	/** Number of requests that are remembered. */
	private static final int WINDOW = 64;

	/** One in so many requests may have an unusual timeout. */
	private static final int IGNORED_SHARE = 8;

	private final long[] latestMs = new long[WINDOW];

	private int count;

	private InitialTimeout() {
	}

	/**
	 * Creates an estimate without any requests.
	 * @return the estimate
	 */
	public static InitialTimeout create() {
		return new InitialTimeout();
	}

	/**
	 * Records a request and estimates how long ago its caller made the first attempt.
	 * @param leftMs time that the caller has left, in milliseconds
	 * @return milliseconds since its first attempt; 0 if this seems to be the first one
	 */
	public long recordAndEstimateElapsedMs(long leftMs) {
		this.latestMs[this.count % WINDOW] = leftMs;
		this.count++;
		return Math.max(0, initialMs() - leftMs);
	}

	private long initialMs() {
		int known = Math.min(this.count, WINDOW);
		long[] sorted = Arrays.copyOf(this.latestMs, known);
		Arrays.sort(sorted);
		return sorted[known - 1 - known / IGNORED_SHARE];
	}

}
