package org.wigeontally.placement;

/**
 * Estimates how much slower than usual a backend server works now.
 *
 * <p>
 * It answers servers whose speed changes many times a second: at any time about 15 in 100
 * take 2.5 times as long, for about 600 ms, and then others do. What an entry knows of a
 * server is often as old as that. An observation therefore loses its weight linearly over
 * the length of a phase: one that is made at a random moment of a phase still holds after
 * a given time with just that probability. A server is thus never left out for longer
 * than a phase because of one old report, and a slow phase counts as no failure.
 *
 * <p>
 * The newest observation decides, whether it comes from an answer, from the agent, or
 * from the pauses between the events of own streams. Used by one thread.
 */
public final class SpeedEstimate {

	/** Time in which slow phases end. */
	public static final long PHASE_MS = 600;

	/**
	 * Largest slowdown that is believed. At this value a server gets hardly any requests
	 * already; a false report must not have more effect.
	 */
	public static final double MAX_SLOWDOWN = 10;

	/**
	 * Pauses of an own stream, relative to the expected pass, from which the server
	 * counts as slow. A pause can also be long because other prompts are read in it, but
	 * seldom twice in a row.
	 */
	private static final double SLOW_PAUSE_RATIO = 1.8;

	private double slowdownFactor = 1;

	private long observedAtMs = Long.MIN_VALUE / 2;

	private double previousPauseRatio = 1;

	private SpeedEstimate() {
	}

	/**
	 * Creates the estimate of a server that was not observed.
	 * @return the estimate
	 */
	public static SpeedEstimate create() {
		return new SpeedEstimate();
	}

	/**
	 * Records what the server or its agent tells.
	 * @param slowdown 1 at normal speed, more if the server is slower
	 * @param nowMs time of arrival in milliseconds
	 */
	public void recordReport(double slowdown, long nowMs) {
		this.slowdownFactor = Math.max(1, Math.min(MAX_SLOWDOWN, slowdown));
		this.observedAtMs = nowMs;
	}

	/**
	 * Records the pause between two events of an own stream. Only two long pauses in a
	 * row change the estimate, and count by the shorter one.
	 * @param pauseRatio pause relative to the expected pass at normal speed
	 * @param nowMs current time in milliseconds
	 */
	public void recordPause(double pauseRatio, long nowMs) {
		double shorter = Math.min(pauseRatio, this.previousPauseRatio);
		this.previousPauseRatio = pauseRatio;
		if (shorter >= SLOW_PAUSE_RATIO && shorter > slowdownFactor(nowMs)) {
			recordReport(shorter, nowMs);
		}
	}

	/**
	 * Returns the expected slowdown.
	 * @param nowMs current time in milliseconds
	 * @return 1 at normal speed, more if the server is slower
	 */
	public double slowdownFactor(long nowMs) {
		double stillHolds = Math.max(0, 1 - (double) ageMs(nowMs) / PHASE_MS);
		return 1 + (this.slowdownFactor - 1) * stillHolds;
	}

	/**
	 * Returns the age of the newest observation.
	 * @param nowMs current time in milliseconds
	 * @return milliseconds
	 */
	public long ageMs(long nowMs) {
		return nowMs - this.observedAtMs;
	}

}
