package org.wigeontally.spread;

import org.wigeontally.errors.WigeontallyException;
import org.wigeontally.weights.Fetch;

/**
 * A fetch brought no bytes.
 */
public final class FetchFailedException extends WigeontallyException {

	private static final long serialVersionUID = 1L;

	private final Fetch.Failure failure;

	private FetchFailedException(Fetch.Failure failure, String message) {
		super(message);
		this.failure = failure;
	}

	/**
	 * Creates the exception.
	 * @param failure how the fetch failed
	 * @param message what was seen
	 * @return the exception
	 */
	public static FetchFailedException of(Fetch.Failure failure, String message) {
		return new FetchFailedException(failure, message);
	}

	/**
	 * Returns how the fetch failed.
	 * @param cause any failure of a fetch
	 * @return the kind of failure
	 */
	public static Fetch.Failure failureOf(Throwable cause) {
		return (cause instanceof FetchFailedException) ? ((FetchFailedException) cause).failure
				: Fetch.Failure.UNREACHABLE;
	}

}
