package org.wigeontally.admission;

import org.wigeontally.errors.ErrorType;

/**
 * Admission decision for a request. Immutable.
 *
 * @param request the request
 * @param verdict whether the request is run, queued or refused
 * @param reason error type that is returned to the caller of a refused request; null
 * otherwise
 * @param retryAfterMs time after which the caller of a refused request may retry; 0
 * otherwise
 * @param waitedMs time that the request spent in the queue
 */
public record AdmissionDecision(AdmissionRequest request, Verdict verdict, ErrorType reason, long retryAfterMs,
		long waitedMs) {

	static AdmissionDecision run(AdmissionRequest request, long waitedMs) {
		return new AdmissionDecision(request, Verdict.RUN, null, 0, waitedMs);
	}

	static AdmissionDecision queued(AdmissionRequest request) {
		return new AdmissionDecision(request, Verdict.QUEUED, null, 0, 0);
	}

	static AdmissionDecision refused(AdmissionRequest request, ErrorType reason, long retryAfterMs, long waitedMs) {
		return new AdmissionDecision(request, Verdict.REFUSED, reason, retryAfterMs, waitedMs);
	}

	/**
	 * Outcome of the decision.
	 */
	public enum Verdict {

		/** The request is to be sent to the backend server now. */
		RUN,
		/** The request is queued; a later decision is final. */
		QUEUED,
		/** The request is refused; it did not run and will not run. */
		REFUSED

	}

}
