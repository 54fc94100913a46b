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
 *
 * <p>
 * A backend server can also ask for a pause, in which it gets no requests. When all
 * entries return to it at the same moment, it asks for the next pause at once, so after
 * the pause the number of requests in flight is raised step by step.
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

	/** Time after a pause in which the requests in flight are limited. */
	private static final long RESUME_MS = 1_000;

	/** Interval after which one more request in flight is allowed. */
	private static final long RESUME_STEP_MS = 100;

	private double successes;

	private double failures;

	private long lastDecayMs;

	private int consecutiveConnectFailures;

	private long backoffUntilMs = Long.MIN_VALUE;

	private long pausedUntilMs = Long.MIN_VALUE / 2;

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
	 * Records that no connection could be established, and starts a backoff. Connects
	 * that were begun together fail together and count once: those that fail during a
	 * backoff tell nothing new.
	 * @param nowMs current time in milliseconds
	 */
	public void recordConnectFailure(long nowMs) {
		if (isBackingOff(nowMs)) {
			return;
		}
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
	 * Records that the backend server wants no requests for some time.
	 * @param nowMs current time in milliseconds
	 * @param pauseMs length of the pause in milliseconds
	 */
	public void recordPause(long nowMs, long pauseMs) {
		this.pausedUntilMs = Math.max(this.pausedUntilMs, nowMs + pauseMs);
	}

	/**
	 * Returns the time until the pause that the backend server asked for ends.
	 * @param nowMs current time in milliseconds
	 * @return milliseconds; 0 if it did not ask for a pause or the pause is over
	 */
	public long remainingPauseMs(long nowMs) {
		return Math.max(0, this.pausedUntilMs - nowMs);
	}

	/**
	 * Returns whether a pause or its end forbids another request.
	 * @param nowMs current time in milliseconds
	 * @param inFlight requests of this entry that run at the backend server
	 * @return true if no request may be sent now
	 */
	public boolean isPaused(long nowMs, int inFlight) {
		long sincePauseMs = nowMs - this.pausedUntilMs;
		if (sincePauseMs < 0) {
			return true;
		}
		return sincePauseMs < RESUME_MS && inFlight > sincePauseMs / RESUME_STEP_MS;
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
