package org.wigeontally.entry;

import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpMethod;

import org.wigeontally.schema.generated.Organisation;
import org.wigeontally.schema.generated.Service;

/**
 * A caller's request that passed all checks.
 *
 * @param organisation organisation of the caller
 * @param service the service
 * @param method HTTP method
 * @param path path and query at the backend server
 * @param body the body
 * @param priority priority of the request
 * @param deadlineMs deadline of the request, on the monotonic clock
 * @param idempotencyKey idempotency key; empty for none
 * @param keyTimeMs when the key was first sent, in milliseconds since the epoch; 0 for
 * none
 */
record CallerRequest(Organisation organisation, Service service, HttpMethod method, String path, Buffer body,
		String priority, long deadlineMs, String idempotencyKey, long keyTimeMs) {

	/**
	 * Tells whether the request must run at most once.
	 * @return true if the service lists the path as at-most-once; query, path parameters
	 * and trailing slashes are ignored
	 */
	boolean mustRunAtMostOnce() {
		return this.service.getAtMostOncePathsList().contains(pathWithoutQuery());
	}

	/**
	 * Tells whether the request may be sent again after a backend server may have
	 * received it.
	 * @return true for requests to a service with a model and for idempotent HTTP
	 * methods, unless the request must run at most once
	 */
	boolean isIdempotent() {
		if (mustRunAtMostOnce()) {
			return false;
		}
		if (!this.service.getModel().isEmpty()) {
			return true;
		}
		return this.method == HttpMethod.GET || this.method == HttpMethod.HEAD || this.method == HttpMethod.PUT
				|| this.method == HttpMethod.DELETE;
	}

	private String pathWithoutQuery() {
		int end = 0;
		while (end < this.path.length() && "?;".indexOf(this.path.charAt(end)) < 0) {
			end++;
		}
		while (end > 1 && this.path.charAt(end - 1) == '/') {
			end--;
		}
		return this.path.substring(0, end);
	}

}
