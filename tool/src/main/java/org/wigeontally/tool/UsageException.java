package org.wigeontally.tool;

import org.wigeontally.errors.WigeontallyException;

/**
 * The command line was used wrongly; the message says what to do.
 */
final class UsageException extends WigeontallyException {

	private static final long serialVersionUID = 1L;

	UsageException(String message) {
		super(message);
	}

}
