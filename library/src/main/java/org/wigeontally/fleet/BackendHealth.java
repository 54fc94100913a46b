package org.wigeontally.fleet;

/**
 * What the answers and silences of one backend server tell of its health. Used by one
 * thread.
 *
 * <p>
 * The load pattern: a backend server fails a part of its requests while its registration
 * and health look good, or has crashed and is still registered for some seconds. A
 * decaying share of failures makes placement prefer others; after connections that could
 * not be made the backend server is left alone for a time that doubles with each further
 * failure, so that its return is still noticed soon.
 */
public final class BackendHealth {

	/** Time in which what was seen loses half of its weight. */
	private static final double HALF_LIFE_MS = 2_000;

	/** Successes that are assumed, so that one failure does not condemn. */
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
	 * Creates the health of a backend server that nothing is known of.
	 * @return the health
	 */
	public static BackendHealth create() {
		return new BackendHealth();
	}

	/**
	 * Notes an answer.
	 * @param nowMs the time
	 */
	public void recordSuccess(long nowMs) {
		decay(nowMs);
		this.successes++;
		this.consecutiveConnectFailures = 0;
		this.backoffUntilMs = Long.MIN_VALUE;
	}

	/**
	 * Notes a failed answer, a broken connection or a silence.
	 * @param nowMs the time
	 */
	public void recordFailure(long nowMs) {
		decay(nowMs);
		this.failures++;
	}

	/**
	 * Notes that no connection could be made.
	 * @param nowMs the time
	 */
	public void recordConnectFailure(long nowMs) {
		recordFailure(nowMs);
		long backoffMs = Math.min(MAX_BACKOFF_MS, INITIAL_BACKOFF_MS << Math.min(this.consecutiveConnectFailures, 8));
		this.consecutiveConnectFailures++;
		this.backoffUntilMs = nowMs + backoffMs;
	}

	/**
	 * Returns whether the backend server is to be left alone.
	 * @param nowMs the time
	 * @return true if it is
	 */
	public boolean isBackingOff(long nowMs) {
		return nowMs < this.backoffUntilMs;
	}

	/**
	 * Returns the share of recent requests that failed.
	 * @param nowMs the time
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
