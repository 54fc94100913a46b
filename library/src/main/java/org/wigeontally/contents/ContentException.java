package org.wigeontally.contents;

import org.wigeontally.errors.ErrorType;
import org.wigeontally.errors.WigeontallyException;

/**
 * Thrown when the content of a large record does not match the reference to it.
 */
public final class ContentException extends WigeontallyException {

	private static final long serialVersionUID = 1L;

	private ContentException(String message) {
		super(message);
	}

	static ContentException of(String reason) {
		return new ContentException(ErrorType.CORRUPT_CONTENT.message(reason));
	}

}
