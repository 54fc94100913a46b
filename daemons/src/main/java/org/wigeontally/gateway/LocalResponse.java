package org.wigeontally.gateway;

/**
 * Answers that the entry gives itself. Statuses 421, 429 and 503 promise that the request
 * has not run and never will; 502 and 504 promise nothing.
 *
 * @param status status of the answer
 * @param reason short name of the reason, for logs and the caller
 * @param retryAfterSeconds when to come back; negative for no advice
 */
record LocalResponse(int status, String reason, double retryAfterSeconds) {

	/** Stands for no advice when to come back. */
	static final double NO_RETRY_AFTER = -1;

	static LocalResponse notRun(String reason, double returnSeconds) {
		return new LocalResponse(503, reason, returnSeconds);
	}

	static LocalResponse unknownOutcome(String reason) {
		return new LocalResponse(502, reason, NO_RETRY_AFTER);
	}

	static LocalResponse timeout(String reason) {
		return new LocalResponse(504, reason, NO_RETRY_AFTER);
	}

	static LocalResponse rejected(int status, String reason) {
		return new LocalResponse(status, reason, NO_RETRY_AFTER);
	}

}
