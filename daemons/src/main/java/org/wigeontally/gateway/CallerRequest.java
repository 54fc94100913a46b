package org.wigeontally.gateway;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

import io.vertx.core.MultiMap;
import io.vertx.core.http.HttpServerRequest;

import org.wigeontally.fleet.Organisation;
import org.wigeontally.fleet.Route;
import org.wigeontally.harmful.Fingerprint;
import org.wigeontally.platform.wire.WireNames;

/**
 * A caller's request after its body was read, its route found and its key checked.
 */
final class CallerRequest {

	/** Headers for the system itself, or that it sets itself. */
	private static final Set<String> NOT_PASSED_ON = Set.of("te", "expect", "proxy-authorization",
			WireNames.KEY.toLowerCase(Locale.ROOT), WireNames.ORGANISATION.toLowerCase(Locale.ROOT),
			WireNames.TIME_LEFT_MS.toLowerCase(Locale.ROOT), WireNames.EXPECTED_BACKEND.toLowerCase(Locale.ROOT),
			WireNames.EXPECTED_VERSION.toLowerCase(Locale.ROOT), WireNames.ENGINE_PRIORITY.toLowerCase(Locale.ROOT),
			WireNames.ENGINE_PATH.toLowerCase(Locale.ROOT), WireNames.LAST_EVENT_ID.toLowerCase(Locale.ROOT));

	private final HttpServerRequest http;

	private final Route route;

	private final Optional<Organisation> organisation;

	private final String service;

	private final byte[] body;

	private final long receivedAtMs;

	private final long callerTimeoutMs;

	CallerRequest(HttpServerRequest http, Route route, Optional<Organisation> organisation, String service, byte[] body,
			long receivedAtMs, long deadlineMs) {
		this.http = http;
		this.route = route;
		this.organisation = organisation;
		this.service = service;
		this.body = body;
		this.receivedAtMs = receivedAtMs;
		this.callerTimeoutMs = deadlineMs;
	}

	Route route() {
		return this.route;
	}

	String service() {
		return this.service;
	}

	long receivedAtMs() {
		return this.receivedAtMs;
	}

	/**
	 * Returns the time that the caller gave when the request arrived.
	 * @return milliseconds
	 */
	long callerTimeoutMs() {
		return this.callerTimeoutMs;
	}

	String attemptId() {
		return this.http.getHeader(WireNames.ATTEMPT_ID);
	}

	String organisationName() {
		return this.organisation.map(Organisation::name).orElse("none");
	}

	int priority() {
		return this.organisation.map(Organisation::priority).filter((rank) -> rank >= 0).orElse(this.route.priority());
	}

	boolean isRegionAllowed(String region) {
		Set<String> ofRoute = this.route.regions();
		Set<String> ofOrganisation = this.organisation.map(Organisation::regions).orElse(Set.of());
		return (ofRoute.isEmpty() || ofRoute.contains(region))
				&& (ofOrganisation.isEmpty() || ofOrganisation.contains(region));
	}

	int promptTokens(int usual) {
		String value = this.http.getHeader(WireNames.TOKENS);
		if (value == null) {
			return usual;
		}
		try {
			return Integer.parseInt(value.split(",", 2)[0].strip());
		}
		catch (NumberFormatException ex) {
			// Not needed to serve the request; placement takes the usual length.
			return usual;
		}
	}

	String lastEventId() {
		return this.http.getHeader(WireNames.LAST_EVENT_ID);
	}

	Fingerprint fingerprint() {
		return Fingerprint.of(organisationName(), this.http.uri(), this.body);
	}

	/**
	 * Makes the call for one backend server.
	 * @param backend id of the backend server
	 * @param leftMs time that is left
	 * @param engineRank rank at the engine; negative for none
	 * @param version version of weights without which it must not run; 0 for any
	 * @param lastEvent last event that the caller has, or null
	 * @return the call
	 */
	BackendRequest toBackendRequest(String backend, long leftMs, int engineRank, long version, String lastEvent) {
		List<Map.Entry<String, String>> headers = new ArrayList<>();
		MultiMap given = this.http.headers();
		Set<String> named = namedByConnection(given);
		for (Map.Entry<String, String> header : given) {
			String name = header.getKey().toLowerCase(Locale.ROOT);
			if (!ConnectionHeaders.contains(name) && !NOT_PASSED_ON.contains(name) && !named.contains(name)) {
				headers.add(header);
			}
		}
		headers.add(Map.entry(WireNames.TIME_LEFT_MS, Long.toString(leftMs)));
		headers.add(Map.entry(WireNames.EXPECTED_BACKEND, backend));
		this.organisation.ifPresent((holder) -> headers.add(Map.entry(WireNames.ORGANISATION, holder.name())));
		if (engineRank >= 0) {
			headers.add(Map.entry(WireNames.ENGINE_PRIORITY, Integer.toString(engineRank)));
		}
		if (version > 0) {
			headers.add(Map.entry(WireNames.EXPECTED_VERSION, Long.toString(version)));
		}
		if (lastEvent != null) {
			headers.add(Map.entry(WireNames.LAST_EVENT_ID, lastEvent));
		}
		return new BackendRequest(this.http.method().name(), this.http.uri(), headers, this.body, attemptId());
	}

	private static Set<String> namedByConnection(MultiMap given) {
		String value = given.get("Connection");
		if (value == null) {
			return Set.of();
		}
		Set<String> named = new HashSet<>();
		for (String name : value.split(",")) {
			String lower = name.strip().toLowerCase(Locale.ROOT);
			// A caller must not make the system drop what identifies the request.
			if (!lower.startsWith("x-") && !lower.equals("host")) {
				named.add(lower);
			}
		}
		return named;
	}

	HttpServerRequest http() {
		return this.http;
	}

}
