package org.wigeontally.tool;

import org.wigeontally.errors.ErrorType;
import org.wigeontally.errors.WigeontallyException;

/**
 * Thrown if no entry host gives a usable response to a request to the administration API,
 * or if a response cannot be parsed.
 */
final class AdminApiException extends WigeontallyException {

	private static final long serialVersionUID = 1L;

	private final transient ErrorType type;

	AdminApiException(ErrorType type, Object... arguments) {
		super(type.message(arguments));
		this.type = type;
	}

	ErrorType type() {
		return this.type;
	}

}
