package org.wigeontally.gateway;

import java.util.List;
import java.util.Map;

/**
 * A request as it is sent to a backend server.
 *
 * @param method HTTP method
 * @param uri path and query
 * @param headers all headers except those for framing
 * @param body the body; empty if there is none
 * @param attemptId id that the response echoes
 */
record BackendRequest(String method, String uri, List<Map.Entry<String, String>> headers, byte[] body,
		String attemptId) {

}
