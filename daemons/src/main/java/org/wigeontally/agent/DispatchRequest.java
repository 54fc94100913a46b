package org.wigeontally.agent;

import java.util.Optional;

import io.vertx.core.http.HttpMethod;
import io.vertx.core.http.HttpServerRequest;

import org.wigeontally.http.Headers;

/**
 * A request that an entry dispatched to this agent, parsed from HTTP headers.
 *
 * @param id id of the dispatch, returned in the response
 * @param service the service
 * @param method HTTP method
 * @param path path and query at the backend server
 * @param organisation organisation of the caller; empty if unknown
 * @param version version of the model that the request is pinned to; empty for none
 * @param configurationRevision configuration revision that the entry used to route the
 * request
 * @param claimHeader value of the claim header, which an at-most-once request carries;
 * empty for other requests
 * @param priority priority of the request; empty if not given
 * @param remainingMs time that remains until the deadline, in milliseconds
 * @param fingerprint hexadecimal fingerprint of the content; empty if unknown
 * @param isSuspect true if a backend server was lost while it ran a request with the same
 * content
 */
record DispatchRequest(String id, String service, HttpMethod method, String path, String organisation, String version,
		long configurationRevision, String claimHeader, String priority, long remainingMs, String fingerprint,
		boolean isSuspect) {

	private static final long DEFAULT_DEADLINE_MS = 60_000;

	/**
	 * Parses the headers of a dispatched request.
	 * @param service the service
	 * @param path path and query at the backend server
	 * @param request the HTTP request
	 * @return the dispatched request, or empty if the dispatch id is missing or a number
	 * is malformed
	 */
	static Optional<DispatchRequest> parse(String service, String path, HttpServerRequest request) {
		String id = request.getHeader(Headers.DISPATCH);
		if (id == null || id.isEmpty()) {
			return Optional.empty();
		}
		try {
			return Optional.of(new DispatchRequest(id, service, request.method(), path,
					headerOrEmpty(request, Headers.ORGANISATION), headerOrEmpty(request, Headers.VERSION),
					headerAsLong(request, Headers.REVISION, 0), headerOrEmpty(request, Headers.CLAIM),
					headerOrEmpty(request, Headers.PRIORITY),
					headerAsLong(request, Headers.DEADLINE_MS, DEFAULT_DEADLINE_MS),
					headerOrEmpty(request, Headers.FINGERPRINT),
					Boolean.parseBoolean(headerOrEmpty(request, Headers.SUSPECT))));
		}
		catch (NumberFormatException ex) {
			return Optional.empty();
		}
	}

	private static String headerOrEmpty(HttpServerRequest request, String header) {
		String value = request.getHeader(header);
		return (value != null) ? value : "";
	}

	private static long headerAsLong(HttpServerRequest request, String header, long defaultValue) {
		String value = request.getHeader(header);
		return (value != null) ? Long.parseLong(value) : defaultValue;
	}

}
