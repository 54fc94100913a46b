package org.wigeontally.weights;

import org.wigeontally.errors.ErrorType;
import org.wigeontally.errors.WigeontallyException;

/**
 * Weights or an order about them were refused.
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
	 * @param type the error
	 * @param arguments values for the message's placeholders
	 * @return the exception
	 */
	public static WeightsException of(ErrorType type, Object... arguments) {
		return new WeightsException(type, type.message(arguments));
	}

	/**
	 * Returns the error.
	 * @return its type
	 */
	public ErrorType type() {
		return this.type;
	}

}
