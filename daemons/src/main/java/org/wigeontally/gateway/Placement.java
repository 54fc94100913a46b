package org.wigeontally.gateway;

import java.util.Optional;
import java.util.function.DoubleUnaryOperator;

import org.wigeontally.placement.ExpectedWork;

/**
 * Where a request is sent, or why it is not sent anywhere now. Immutable.
 */
sealed interface Placement {

	/**
	 * A backend server can take the request.
	 *
	 * @param backend the backend server
	 * @param enginePriority scheduling priority at the engine; negative for none
	 * @param version version of the weights that may run it
	 * @param work expected work; empty if the service is not placed by work
	 */
	record Placed(Backend backend, int enginePriority, VersionRequirement version,
			Optional<ExpectedWork> work) implements Placement {

	}

	/**
	 * No backend server can take the request.
	 *
	 * @param reason reason of the refusal, for the log
	 * @param retryAfterSeconds when the caller returns, by its remaining time in
	 * milliseconds
	 */
	record NotPlaced(String reason, DoubleUnaryOperator retryAfterSeconds) implements Placement {

	}

	/**
	 * The request waits at the entry for a slot of an engine, and is placed or refused
	 * later.
	 */
	record Waits() implements Placement {

	}

}
