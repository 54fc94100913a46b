package org.wigeontally.fleet;

import java.util.function.ToLongFunction;

/**
 * A single one of the {@link CallerLimits}.
 */
public enum CallerLimit {

	/** Maximum size of the headers. */
	HEADER_BYTES("maximum size of headers", CallerLimits::maxHeaderBytes),
	/** Maximum size of a body. */
	BODY_BYTES("maximum size of a body", CallerLimits::maxBodyBytes),
	/** Time within which the headers must be received. */
	HEADER_TIMEOUT("timeout of headers", CallerLimits::headerTimeoutMs),
	/** Time after which an idle connection is closed. */
	IDLE_TIMEOUT("timeout of idle connections", CallerLimits::idleTimeoutMs);

	private final String label;

	private final ToLongFunction<CallerLimits> value;

	CallerLimit(String label, ToLongFunction<CallerLimits> value) {
		this.label = label;
		this.value = value;
	}

	/**
	 * Returns the name of the limit for operators.
	 * @return the name
	 */
	public String label() {
		return this.label;
	}

	/**
	 * Returns the value of the limit.
	 * @param limits all limits
	 * @return bytes or milliseconds
	 */
	public long of(CallerLimits limits) {
		return this.value.applyAsLong(limits);
	}

}
