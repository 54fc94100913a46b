package org.wigeontally.gateway;

/**
 * Answers that the entry gives itself. Statuses 421, 429 and 503 promise that the request
 * has not run and never will; 502 and 504 promise nothing.
 *
 * @param status status of the answer
 * @param reason short name of the reason, for logs and the caller
 * @param returnSeconds when to come back; negative for no advice
 */
record OwnAnswer(int status, String reason, double returnSeconds) {

	/** Stands for no advice when to come back. */
	static final double NO_ADVICE = -1;

	static OwnAnswer notRun(String reason, double returnSeconds) {
		return new OwnAnswer(503, reason, returnSeconds);
	}

	static OwnAnswer unknownOutcome(String reason) {
		return new OwnAnswer(502, reason, NO_ADVICE);
	}

	static OwnAnswer timeout(String reason) {
		return new OwnAnswer(504, reason, NO_ADVICE);
	}

	static OwnAnswer rejected(int status, String reason) {
		return new OwnAnswer(status, reason, NO_ADVICE);
	}

}
