package org.wigeontally.claims;

import java.util.List;

/**
 * Asks for the right to dispatch a request once.
 *
 * @param key key of the request
 * @param content hash of the request's body
 * @param keyTimeMs time of the first sending as the caller says, in milliseconds since
 * 1970
 * @param agents process ids of the agents that may get the request
 * @param deadlineMs monotonic time after which the decision is of no use
 */
public record ClaimRequest(ClaimKey key, long contentHash, long keyTimeMs, List<String> agents, long deadlineMs) {

	/**
	 * Copies the agents.
	 */
	public ClaimRequest {
		agents = List.copyOf(agents);
	}

}
