package org.wigeontally.spread;

import org.wigeontally.errors.WigeontallyException;
import org.wigeontally.weights.Fetch;

/**
 * Thrown if a fetch fails before all bytes are received.
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
	 * @param failure kind of failure
	 * @param message details of the failure
	 * @return the exception
	 */
	public static FetchFailedException of(Fetch.Failure failure, String message) {
		return new FetchFailedException(failure, message);
	}

	/**
	 * Returns the kind of failure of a fetch.
	 * @param cause the exception that the fetch failed with
	 * @return the kind of failure; {@code UNREACHABLE} for other types of exceptions
	 */
	public static Fetch.Failure failureOf(Throwable cause) {
		return (cause instanceof FetchFailedException) ? ((FetchFailedException) cause).failure
				: Fetch.Failure.UNREACHABLE;
	}

}
