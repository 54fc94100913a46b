package org.wigeontally.errors;

/**
 * Base of the checked exceptions of this project.
 */
public class WigeontallyException extends Exception {

	private static final long serialVersionUID = 1L;

	/**
	 * Creates the exception.
	 * @param message what went wrong
	 */
	protected WigeontallyException(String message) {
		super(message);
	}

	/**
	 * Creates the exception.
	 * @param message what went wrong
	 * @param cause what brought it about
	 */
	protected WigeontallyException(String message, Throwable cause) {
		super(message, cause);
	}

}
