package org.wigeontally.retries;

/**
 * What is known of an attempt that brought no answer.
 */
public enum AttemptOutcome {

	/** Refused, or never sent: the backend server did not get it and will not. */
	NOT_RUN,
	/** It ran, or may have run, and no part of an answer reached the caller. */
	MAY_HAVE_RUN,
	/** A part of the answer reached the caller. */
	RESPONSE_STARTED

}
