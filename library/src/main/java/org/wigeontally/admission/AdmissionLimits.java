package org.wigeontally.admission;

/**
 * What a backend server bears, from its settings. Immutable.
 *
 * @param capacity most requests at once when warm
 * @param coldCapacity most requests at once during a cold start
 * @param queueLimit most requests that wait ahead of one that is let in; half as many of
 * organisations over their share may wait behind them
 * @param reportsRunning true if it reports how many requests it runs
 * @param settleMs time after which work of an earlier agent is taken to be over at a
 * backend server that reports nothing
 */
public record AdmissionLimits(int capacity, int coldCapacity, int queueLimit, boolean reportsRunning,
		long inheritedRequestTimeoutMs) {

	/**
	 * Creates limits of a backend server that reports what it runs.
	 * @param capacity most requests at once when warm
	 * @param coldCapacity most requests at once during a cold start
	 * @param queueLimit most requests that wait
	 * @return the limits
	 */
	public static AdmissionLimits reporting(int capacity, int coldCapacity, int queueLimit) {
		return new AdmissionLimits(capacity, coldCapacity, queueLimit, true, 0);
	}

	/**
	 * Creates limits of a backend server that reports nothing.
	 * @param capacity most requests at once when warm
	 * @param coldCapacity most requests at once during a cold start
	 * @param queueLimit most requests that wait
	 * @param settleMs longest time that work of an earlier agent may still run
	 * @return the limits
	 */
	public static AdmissionLimits nonReporting(int capacity, int coldCapacity, int queueLimit, long settleMs) {
		return new AdmissionLimits(capacity, coldCapacity, queueLimit, false, settleMs);
	}

}
