package org.wigeontally.errors;

/**
 * Base class of the checked exceptions of this project.
 */
public class WigeontallyException extends Exception {

	private static final long serialVersionUID = 1L;

	/**
	 * Creates the exception.
	 * @param message description of the error
	 */
	protected WigeontallyException(String message) {
		super(message);
	}

	/**
	 * Creates the exception.
	 * @param message description of the error
	 * @param cause the underlying exception
	 */
	protected WigeontallyException(String message, Throwable cause) {
		super(message, cause);
	}

}
