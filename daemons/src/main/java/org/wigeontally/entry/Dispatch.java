package org.wigeontally.entry;

import io.vertx.core.http.HttpClientRequest;

import org.wigeontally.harmful.Fingerprint;
import org.wigeontally.misc.Clock;

/**
 * One dispatch of a caller's request to one agent. It can be cancelled before or after it
 * is sent; a dispatch that is cancelled first is never sent. Confined to the event loop
 * of the request.
 */
final class Dispatch {

	private final String id;

	private final CallerRequest request;

	private final String version;

	private final long configurationRevision;

	private final String claimHeader;

	private final Fingerprint fingerprint;

	private final boolean suspect;

	private final Clock clock;

	private HttpClientRequest sentRequest;

	private boolean cancelled;

	Dispatch(String id, CallerRequest request, String version, long configurationRevision, String claimHeader,
			Fingerprint fingerprint, boolean suspect, Clock clock) {
		this.id = id;
		this.request = request;
		this.version = version;
		this.configurationRevision = configurationRevision;
		this.claimHeader = claimHeader;
		this.fingerprint = fingerprint;
		this.suspect = suspect;
		this.clock = clock;
	}

	/**
	 * Marks the dispatch as sent, unless it was cancelled or its deadline has passed.
	 * @param agentRequest the HTTP request to the agent, which is reset on cancellation
	 * @return true if the request may be sent
	 */
	boolean tryBegin(HttpClientRequest agentRequest) {
		if (this.cancelled || remainingMs() <= 0) {
			return false;
		}
		this.sentRequest = agentRequest;
		return true;
	}

	void cancel() {
		this.cancelled = true;
		if (this.sentRequest != null) {
			this.sentRequest.reset();
		}
	}

	long remainingMs() {
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

	long configurationRevision() {
		return this.configurationRevision;
	}

	Fingerprint fingerprint() {
		return this.fingerprint;
	}

	boolean isSuspect() {
		return this.suspect;
	}

	String claimHeader() {
		return this.claimHeader;
	}

}
