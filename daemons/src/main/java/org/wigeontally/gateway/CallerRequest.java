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
	private static final Set<String> NOT_FORWARDED = Set.of("te", "expect", "proxy-authorization",
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
			long receivedAtMs, long callerTimeoutMs) {
		this.http = http;
		this.route = route;
		this.organisation = organisation;
		this.service = service;
		this.body = body;
		this.receivedAtMs = receivedAtMs;
		this.callerTimeoutMs = callerTimeoutMs;
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
		Set<String> routeRegions = this.route.regions();
		Set<String> organisationRegions = this.organisation.map(Organisation::regions).orElse(Set.of());
		return (routeRegions.isEmpty() || routeRegions.contains(region))
				&& (organisationRegions.isEmpty() || organisationRegions.contains(region));
	}

	int promptTokens(int defaultTokens) {
		String value = this.http.getHeader(WireNames.TOKENS);
		if (value == null) {
			return defaultTokens;
		}
		try {
			return Integer.parseInt(value.split(",", 2)[0].strip());
		}
		catch (NumberFormatException ex) {
			// Not needed to serve the request; placement takes the usual length.
			return defaultTokens;
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
	 * @param enginePriority rank at the engine; negative for none
	 * @param requiredVersion version of weights without which it must not run; 0 for any
	 * @param lastEventId last event that the caller has, or null
	 * @return the call
	 */
	BackendRequest toBackendRequest(String backend, long leftMs, int enginePriority, long requiredVersion,
			String lastEventId) {
		List<Map.Entry<String, String>> headers = new ArrayList<>();
		MultiMap callerHeaders = this.http.headers();
		Set<String> hopByHop = hopByHopHeaders(callerHeaders);
		for (Map.Entry<String, String> header : callerHeaders) {
			String name = header.getKey().toLowerCase(Locale.ROOT);
			if (!ConnectionHeaders.contains(name) && !NOT_FORWARDED.contains(name) && !hopByHop.contains(name)) {
				headers.add(header);
			}
		}
		headers.add(Map.entry(WireNames.TIME_LEFT_MS, Long.toString(leftMs)));
		headers.add(Map.entry(WireNames.EXPECTED_BACKEND, backend));
		this.organisation.ifPresent((holder) -> headers.add(Map.entry(WireNames.ORGANISATION, holder.name())));
		if (enginePriority >= 0) {
			headers.add(Map.entry(WireNames.ENGINE_PRIORITY, Integer.toString(enginePriority)));
		}
		if (requiredVersion > 0) {
			headers.add(Map.entry(WireNames.EXPECTED_VERSION, Long.toString(requiredVersion)));
		}
		if (lastEventId != null) {
			headers.add(Map.entry(WireNames.LAST_EVENT_ID, lastEventId));
		}
		return new BackendRequest(this.http.method().name(), this.http.uri(), headers, this.body, attemptId());
	}

	private static Set<String> hopByHopHeaders(MultiMap callerHeaders) {
		String value = callerHeaders.get("Connection");
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
