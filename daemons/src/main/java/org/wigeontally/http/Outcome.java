package org.wigeontally.http;

/**
 * Outcome of a request as known when its answer is sent.
 */
public enum Outcome {

	/** A backend server answered the request; the answer is the backend server's. */
	DONE("done"),
	/** No backend server received the request, and none will receive it. */
	NOT_RUN("not-run"),
	/** A backend server may have run the request. */
	UNKNOWN("unknown");

	private final String headerValue;

	Outcome(String headerValue) {
		this.headerValue = headerValue;
	}

	/**
	 * Returns the outcome as written in headers and bodies.
	 * @return the text
	 */
	public String headerValue() {
		return this.headerValue;
	}

}
