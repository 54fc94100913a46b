package org.wigeontally.entry;

import io.vertx.core.http.HttpClientResponse;

import org.wigeontally.http.Refusal;

/**
 * The result of one dispatch to an agent.
 */
sealed interface DispatchResult {

	/**
	 * The backend server answered.
	 *
	 * @param response the answer, with reading paused
	 */
	record Answered(HttpClientResponse response) implements DispatchResult {

	}

	/**
	 * No backend server received the request through this dispatch, and none will.
	 *
	 * @param refusal refusal by the agent, or by this entry if nothing was sent
	 * @param loadHeader load of the backend server as reported by the agent; null if it
	 * did not report any
	 */
	record NotRun(Refusal refusal, String loadHeader) implements DispatchResult {

	}

	/**
	 * A backend server may have received the request.
	 *
	 * @param detail description of the failure
	 */
	record Unknown(String detail) implements DispatchResult {

	}

}
