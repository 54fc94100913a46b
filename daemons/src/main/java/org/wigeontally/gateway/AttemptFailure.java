package org.wigeontally.gateway;

import java.util.Locale;

/**
 * Failure of an attempt, by what is known about the execution of the request.
 */
enum AttemptFailure {

	/** The request was not sent. */
	NOT_SENT,
	/** The backend server says that it did not run the request. */
	NOT_RUN,
	/** The backend server may have run the request. */
	MAY_HAVE_RUN,
	/** The backend server ran the request and failed. */
	FAILED;

	String label() {
		return name().toLowerCase(Locale.ROOT).replace('_', '-');
	}

}
