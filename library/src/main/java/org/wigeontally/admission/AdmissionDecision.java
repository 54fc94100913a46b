package org.wigeontally.admission;

import org.wigeontally.errors.ErrorType;

/**
 * What was decided on a request. Immutable.
 *
 * @param request the request
 * @param verdict whether it runs, waits or is refused
 * @param reason error that a refusal is answered with; null otherwise
 * @param retryAfterMs time after which a refused caller may come back; 0 otherwise
 * @param waitedMs time spent in the queue
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
	 * The decision.
	 */
	public enum Verdict {

		/** To be sent to the backend server now. */
		RUN,
		/** Waits; a later decision follows. */
		QUEUED,
		/** Refused; it did not run and will not. */
		REFUSED

	}

}
