package org.wigeontally.http;

/**
 * What is known of a request when its answer is given.
 */
public enum Outcome {

	/** A backend server answered, and this is its answer. */
	DONE("done"),
	/** No backend server got the request and none will. */
	NOT_RUN("not-run"),
	/** A backend server may have run the request. */
	UNKNOWN("unknown");

	private final String headerValue;

	Outcome(String headerValue) {
		this.headerValue = headerValue;
	}

	/**
	 * Returns the outcome as headers carry it.
	 * @return the text
	 */
	public String headerValue() {
		return this.headerValue;
	}

}
