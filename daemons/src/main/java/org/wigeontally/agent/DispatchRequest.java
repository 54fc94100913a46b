package org.wigeontally.agent;

import java.util.Optional;

import io.vertx.core.http.HttpMethod;
import io.vertx.core.http.HttpServerRequest;

import org.wigeontally.http.Headers;

/**
 * A request as an entry dispatched it.
 *
 * @param id id of the dispatch, repeated in the answer
 * @param service the service
 * @param method HTTP method
 * @param path path and query at the backend server
 * @param organisation organisation of the caller
 * @param version version of the model that the request is pinned to; empty for none
 * @param revision revision of the configuration that the entry decided on
 * @param claim id of the claim; empty for none
 * @param priority priority of the request
 * @param deadlineMs time left, in milliseconds
 */
record DispatchRequest(String id, String service, HttpMethod method, String path, String organisation, String version,
		long revision, String claim, String priority, long deadlineMs) {

	private static final long DEFAULT_DEADLINE_MS = 60_000;

	/**
	 * Reads a request.
	 * @param service the service
	 * @param path path and query at the backend server
	 * @param request the HTTP request
	 * @return the dispatched request, or empty if it is malformed
	 */
	static Optional<DispatchRequest> read(String service, String path, HttpServerRequest request) {
		String id = request.getHeader(Headers.DISPATCH);
		if (id == null || id.isEmpty()) {
			return Optional.empty();
		}
		try {
			return Optional.of(new DispatchRequest(id, service, request.method(), path,
					text(request, Headers.ORGANISATION), text(request, Headers.VERSION),
					number(request, Headers.REVISION, 0), text(request, Headers.CLAIM), text(request, Headers.PRIORITY),
					number(request, Headers.DEADLINE_MS, DEFAULT_DEADLINE_MS)));
		}
		catch (NumberFormatException ex) {
			return Optional.empty();
		}
	}

	private static String text(HttpServerRequest request, String header) {
		String value = request.getHeader(header);
		return (value != null) ? value : "";
	}

	private static long number(HttpServerRequest request, String header, long absent) {
		String value = request.getHeader(header);
		return (value != null) ? Long.parseLong(value) : absent;
	}

}
