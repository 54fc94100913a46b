package org.wigeontally.retries;

/**
 * What is known about an attempt that did not return a complete response.
 */
public enum AttemptOutcome {

	/**
	 * The attempt was refused or never sent; the backend server did not run it and will
	 * not run it.
	 */
	NOT_RUN,
	/** The attempt ran or may have run, and no part of a response reached the caller. */
	MAY_HAVE_RUN,
	/** A part of the response reached the caller. */
	RESPONSE_STARTED

}
