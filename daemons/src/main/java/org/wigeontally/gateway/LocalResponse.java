package org.wigeontally.gateway;

/**
 * Response that the entry generates itself. Statuses 421, 429 and 503 guarantee that the
 * request has not run and will not run; 502 and 504 guarantee nothing.
 *
 * @param status status code of the response
 * @param reason short name of the reason, for logs and the caller
 * @param retryAfterSeconds value of the Retry-After header; negative for none
 */
record LocalResponse(int status, String reason, double retryAfterSeconds) {

	/** Omits the Retry-After header. */
	static final double NO_RETRY_AFTER = -1;

	static LocalResponse notRun(String reason, double retryAfterSeconds) {
		return new LocalResponse(503, reason, retryAfterSeconds);
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
