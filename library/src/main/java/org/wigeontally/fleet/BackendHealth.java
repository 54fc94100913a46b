package org.wigeontally.fleet;

/**
 * Tracks the health of one backend server from the results of requests. Used by one
 * thread.
 *
 * <p>
 * A backend server can fail part of its requests although its registration and health
 * check look good, or can crash and stay registered for some seconds. A decaying failure
 * rate makes placement prefer other backend servers. After a failed connection attempt
 * the backend server gets no requests for a backoff time that doubles with each further
 * failure, up to a limit that is short enough to detect its return soon.
 */
public final class BackendHealth {

	/** Half-life of the recorded successes and failures. */
	private static final double HALF_LIFE_MS = 2_000;

	/**
	 * Assumed successes, so that a single failure does not give a high failure rate.
	 */
	private static final double PRIOR_SUCCESSES = 2;

	private static final long INITIAL_BACKOFF_MS = 250;

	private static final long MAX_BACKOFF_MS = 2_000;

	private double successes;

	private double failures;

	private long lastDecayMs;

	private int consecutiveConnectFailures;

	private long backoffUntilMs = Long.MIN_VALUE;

	private BackendHealth() {
	}

	/**
	 * Creates the health of a backend server without any recorded results.
	 * @return the health
	 */
	public static BackendHealth create() {
		return new BackendHealth();
	}

	/**
	 * Records a successful answer and ends a backoff.
	 * @param nowMs current time in milliseconds
	 */
	public void recordSuccess(long nowMs) {
		decay(nowMs);
		this.successes++;
		this.consecutiveConnectFailures = 0;
		this.backoffUntilMs = Long.MIN_VALUE;
	}

	/**
	 * Records an error answer, a broken connection or a timeout.
	 * @param nowMs current time in milliseconds
	 */
	public void recordFailure(long nowMs) {
		decay(nowMs);
		this.failures++;
	}

	/**
	 * Records that no connection could be established, and starts a backoff.
	 * @param nowMs current time in milliseconds
	 */
	public void recordConnectFailure(long nowMs) {
		recordFailure(nowMs);
		long backoffMs = Math.min(MAX_BACKOFF_MS, INITIAL_BACKOFF_MS << Math.min(this.consecutiveConnectFailures, 8));
		this.consecutiveConnectFailures++;
		this.backoffUntilMs = nowMs + backoffMs;
	}

	/**
	 * Returns whether the backend server must get no requests until its backoff ends.
	 * @param nowMs current time in milliseconds
	 * @return true during a backoff
	 */
	public boolean isBackingOff(long nowMs) {
		return nowMs < this.backoffUntilMs;
	}

	/**
	 * Returns the rate of recent requests that failed.
	 * @param nowMs current time in milliseconds
	 * @return from 0 to 1
	 */
	public double failureRate(long nowMs) {
		decay(nowMs);
		return this.failures / (this.failures + this.successes + PRIOR_SUCCESSES);
	}

	private void decay(long nowMs) {
		double factor = Math.pow(0.5, Math.max(0, nowMs - this.lastDecayMs) / HALF_LIFE_MS);
		this.successes *= factor;
		this.failures *= factor;
		this.lastDecayMs = nowMs;
	}

}
