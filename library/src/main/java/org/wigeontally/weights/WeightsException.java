package org.wigeontally.weights;

import org.wigeontally.errors.ErrorType;
import org.wigeontally.errors.WigeontallyException;

/**
 * Thrown when weights, or an order to load them, are rejected.
 */
public final class WeightsException extends WigeontallyException {

	private static final long serialVersionUID = 1L;

	private final ErrorType type;

	private WeightsException(ErrorType type, String message) {
		super(message);
		this.type = type;
	}

	/**
	 * Creates the exception.
	 * @param type the error type
	 * @param arguments values for the message's placeholders
	 * @return the exception
	 */
	public static WeightsException of(ErrorType type, Object... arguments) {
		return new WeightsException(type, type.message(arguments));
	}

	/**
	 * Returns the error type.
	 * @return the error type
	 */
	public ErrorType type() {
		return this.type;
	}

}
