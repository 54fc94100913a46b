package org.wigeontally.tool;

import org.wigeontally.errors.WigeontallyException;

/**
 * Thrown if the command line is used incorrectly. The message says how to correct the
 * call.
 */
final class UsageException extends WigeontallyException {

	private static final long serialVersionUID = 1L;

	UsageException(String message) {
		super(message);
	}

}
