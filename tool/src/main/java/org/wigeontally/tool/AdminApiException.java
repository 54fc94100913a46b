package org.wigeontally.tool;

import org.wigeontally.errors.ErrorType;
import org.wigeontally.errors.WigeontallyException;

/**
 * Entry hosts did not do what was asked of them.
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
