package org.wigeontally.gateway;

import java.util.Locale;

/**
 * What is known of an attempt at a backend server that brought no answer.
 */
enum AttemptFailure {

	/** Nothing was sent. */
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
