package org.wigeontally.entry;

import io.vertx.core.http.HttpClientResponse;

import org.wigeontally.http.Refusal;

/**
 * What came of one dispatch to an agent.
 */
sealed interface DispatchResult {

	/**
	 * The backend server answered.
	 *
	 * @param response the answer, paused
	 */
	record Answered(HttpClientResponse response) implements DispatchResult {

	}

	/**
	 * No backend server got the request by this dispatch and none will.
	 *
	 * @param refusal the agent's refusal
	 * @param loadHeader load of the backend server as the agent tells it; null if it does
	 * not
	 */
	record NotRun(Refusal refusal, String loadHeader) implements DispatchResult {

	}

	/**
	 * A backend server may have got the request.
	 *
	 * @param detail what happened
	 */
	record Unknown(String detail) implements DispatchResult {

	}

}
