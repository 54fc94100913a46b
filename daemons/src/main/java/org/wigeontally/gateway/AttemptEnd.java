package org.wigeontally.gateway;

import java.util.Locale;

/**
 * What is known of an attempt at a backend server that brought no answer.
 */
enum AttemptEnd {

	/** Nothing was sent. */
	NOT_SENT,
	/** The backend server says that it did not run the request. */
	NOT_RUN,
	/** The backend server may have run the request. */
	MAY_HAVE_RUN,
	/** The backend server ran the request and failed. */
	FAILED;

	String text() {
		return name().toLowerCase(Locale.ROOT).replace('_', '-');
	}

}
