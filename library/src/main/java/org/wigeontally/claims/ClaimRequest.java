package org.wigeontally.claims;

import java.util.List;

/**
 * Request for a claim, which gives the right to dispatch once.
 *
 * @param key key of the request to dispatch
 * @param contentHash hash of the request body
 * @param keyTimeMs time at which the caller first sent the key, by the caller's clock, in
 * milliseconds since 1970
 * @param agents process ids of the agents that the request may be dispatched to
 * @param deadlineMs monotonic time after which the decision is no longer needed
 */
public record ClaimRequest(ClaimKey key, long contentHash, long keyTimeMs, List<String> agents, long deadlineMs) {

	/**
	 * Copies the list of agents.
	 */
	public ClaimRequest {
		agents = List.copyOf(agents);
	}

}
