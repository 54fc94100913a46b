package org.wigeontally.entry;

import io.vertx.core.http.HttpClientRequest;

import org.wigeontally.misc.Clock;

/**
 * One dispatch of a caller's request to one agent. It can be cancelled before or after it
 * was sent; once cancelled it is never sent. Confined to the event loop of the request.
 */
final class Dispatch {

	private final String id;

	private final CallerRequest request;

	private final String version;

	private final long revision;

	private final String claim;

	private final Clock clock;

	private HttpClientRequest sent;

	private boolean cancelled;

	Dispatch(String id, CallerRequest request, String version, long revision, String claim, Clock clock) {
		this.id = id;
		this.request = request;
		this.version = version;
		this.revision = revision;
		this.claim = claim;
		this.clock = clock;
	}

	/**
	 * Marks the dispatch as sent with a request.
	 * @param toAgent the HTTP request
	 * @return false if it was cancelled or its time is up, and must not be sent
	 */
	boolean begin(HttpClientRequest toAgent) {
		if (this.cancelled || leftMs() <= 0) {
			return false;
		}
		this.sent = toAgent;
		return true;
	}

	void cancel() {
		this.cancelled = true;
		if (this.sent != null) {
			this.sent.reset();
		}
	}

	long leftMs() {
		return this.request.deadlineMs() - this.clock.monotonicMs();
	}

	String id() {
		return this.id;
	}

	CallerRequest request() {
		return this.request;
	}

	String version() {
		return this.version;
	}

	long revision() {
		return this.revision;
	}

	String claim() {
		return this.claim;
	}

}
