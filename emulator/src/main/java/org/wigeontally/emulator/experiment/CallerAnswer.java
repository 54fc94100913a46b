package org.wigeontally.emulator.experiment;

/**
 * What a caller got for one sending of a request.
 *
 * @param kind what is known of the request
 * @param status HTTP status; 0 without an answer
 * @param body the body
 * @param version version of the model that answered; empty for none
 * @param retryAfterMs when to come back, in milliseconds; negative for never
 * @param firstByteMs time to the first byte of the body, in milliseconds
 * @param totalMs time to the end of the answer, in milliseconds
 */
public record CallerAnswer(Kind kind, int status, String body, String version, long retryAfterMs, double firstByteMs,
		double totalMs) {

	/**
	 * What is known of the request.
	 */
	public enum Kind {

		/** An answer came. */
		DONE,
		/** Nothing ran. */
		NOT_RUN,
		/** It may have run. */
		UNKNOWN,
		/** The connection failed or the answer broke off. */
		BROKEN

	}

}
