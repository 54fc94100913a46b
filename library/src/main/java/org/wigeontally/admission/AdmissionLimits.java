package org.wigeontally.admission;

/**
 * Admission limits of a backend server, taken from its settings. Immutable.
 *
 * @param capacity maximum number of concurrent requests when warm
 * @param coldCapacity maximum number of concurrent requests during a cold start
 * @param queueLimit maximum number of queued requests ahead of a request that is queued;
 * requests of organisations over their share are queued only while the queue holds fewer
 * than half as many
 * @param reportsRunning true if the backend server reports how many requests it is
 * running
 * @param inheritedRequestTimeoutMs time after which requests of a previous agent process
 * are considered finished if the backend server does not report its running requests
 */
public record AdmissionLimits(int capacity, int coldCapacity, int queueLimit, boolean reportsRunning,
		long inheritedRequestTimeoutMs) {

	/**
	 * Creates limits of a backend server that reports its running requests.
	 * @param capacity maximum number of concurrent requests when warm
	 * @param coldCapacity maximum number of concurrent requests during a cold start
	 * @param queueLimit maximum number of queued requests
	 * @return the limits
	 */
	public static AdmissionLimits reporting(int capacity, int coldCapacity, int queueLimit) {
		return new AdmissionLimits(capacity, coldCapacity, queueLimit, true, 0);
	}

	/**
	 * Creates limits of a backend server that does not report its running requests.
	 * @param capacity maximum number of concurrent requests when warm
	 * @param coldCapacity maximum number of concurrent requests during a cold start
	 * @param queueLimit maximum number of queued requests
	 * @param inheritedRequestTimeoutMs maximum time for which requests of a previous
	 * agent process may still run
	 * @return the limits
	 */
	public static AdmissionLimits nonReporting(int capacity, int coldCapacity, int queueLimit, long settleMs) {
		return new AdmissionLimits(capacity, coldCapacity, queueLimit, false, settleMs);
	}

}
