package org.wigeontally.entry;

import io.vertx.core.http.HttpClientResponse;

import org.wigeontally.http.Refusal;

/**
 * What came of one dispatch to an agent.
 */
sealed interface AgentAnswer {

	/**
	 * The backend server answered.
	 *
	 * @param response the answer, paused
	 */
	record Answered(HttpClientResponse response) implements AgentAnswer {

	}

	/**
	 * No backend server got the request by this dispatch and none will.
	 *
	 * @param refusal the agent's refusal
	 */
	record NotRun(Refusal refusal) implements AgentAnswer {

	}

	/**
	 * A backend server may have got the request.
	 *
	 * @param detail what happened
	 */
	record Lost(String detail) implements AgentAnswer {

	}

}
