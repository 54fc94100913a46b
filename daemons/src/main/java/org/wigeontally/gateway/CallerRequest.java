package org.wigeontally.gateway;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.regex.Pattern;
import java.util.stream.Collectors;

import io.vertx.core.MultiMap;
import io.vertx.core.http.HttpServerRequest;

import org.wigeontally.fleet.AllowedRegions;
import org.wigeontally.fleet.Organisation;
import org.wigeontally.fleet.Route;
import org.wigeontally.harmful.Fingerprint;
import org.wigeontally.harmful.PromptPart;
import org.wigeontally.platform.wire.PromptParts;
import org.wigeontally.platform.wire.WireNames;

/**
 * A caller's request, with its complete body, its route and the organisation that its key
 * belongs to.
 */
final class CallerRequest {

	/**
	 * Headers that are meant for the entry or that the entry sets itself; they are not
	 * copied from the caller.
	 */
	private static final Set<String> NOT_FORWARDED = Set.of("te", "expect", "proxy-authorization",
			WireNames.API_KEY.toLowerCase(Locale.ROOT), WireNames.ORGANISATION.toLowerCase(Locale.ROOT),
			WireNames.REMAINING_MS.toLowerCase(Locale.ROOT), WireNames.EXPECTED_BACKEND.toLowerCase(Locale.ROOT),
			WireNames.EXPECTED_VERSION.toLowerCase(Locale.ROOT), WireNames.ENGINE_PRIORITY.toLowerCase(Locale.ROOT),
			WireNames.ENGINE_PATH.toLowerCase(Locale.ROOT), WireNames.LAST_EVENT_ID.toLowerCase(Locale.ROOT));

	private static final Pattern WHOLE_NUMBER = Pattern.compile("\\d{1,9}");

	private final HttpServerRequest http;

	private final Route route;

	private final Optional<Organisation> organisation;

	private final String service;

	private final byte[] body;

	private final long receivedAtMs;

	private final long callerTimeoutMs;

	private final Set<PromptPart> sharedParts;

	private final String unreadableParts;

	CallerRequest(HttpServerRequest http, Route route, Optional<Organisation> organisation, String service, byte[] body,
			long receivedAtMs, long callerTimeoutMs) {
		this.http = http;
		this.route = route;
		this.organisation = organisation;
		this.service = service;
		this.body = body;
		this.receivedAtMs = receivedAtMs;
		this.callerTimeoutMs = callerTimeoutMs;
		PromptParts promptParts = PromptParts.decode(http.headers().getAll(WireNames.PROMPT_PARTS));
		this.unreadableParts = promptParts.unreadable();
		this.sharedParts = promptParts.sharedIds()
			.stream()
			.map((id) -> new PromptPart(service, id))
			.collect(Collectors.toUnmodifiableSet());
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
	 * Returns the time that the caller waits for the response, counted from the arrival
	 * of the request.
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

	/**
	 * Returns the organisation for which the bytes of the request and its responses are
	 * held.
	 * @return its name, or null if the request has none
	 */
	String memoryOwner() {
		return this.organisation.map(Organisation::name).orElse(null);
	}

	int priority() {
		return this.organisation.map(Organisation::priority).filter((rank) -> rank >= 0).orElse(this.route.priority());
	}

	boolean isRegionAllowed(String region) {
		AllowedRegions organisationRegions = this.organisation.map(Organisation::regions).orElse(AllowedRegions.all());
		return this.route.regions().contains(region) && organisationRegions.contains(region);
	}

	/**
	 * Returns what decides which engines of its service the request may use.
	 * @return equal for requests that may use the same ones
	 */
	Object engineSet() {
		return List.of(this.route.regions(), this.organisation.map(Organisation::regions).orElse(AllowedRegions.all()));
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
			// The request can be served without it; placement uses the mean length.
			return defaultTokens;
		}
	}

	/**
	 * Returns the caller's estimate of the answer's length.
	 * @return number of tokens; 0 if there is no usable one
	 */
	long lengthHint() {
		return wholeNumber(this.http.getHeader(WireNames.LENGTH_HINT), 0);
	}

	/**
	 * Returns how long the answer may be.
	 * @return number of tokens; 0 if unknown
	 */
	long maxAnswerTokens() {
		return wholeNumber(this.http.getHeader(WireNames.TOKENS), 1);
	}

	private static long wholeNumber(String value, int index) {
		String[] figures = (value != null) ? value.split(",", index + 2) : new String[0];
		String figure = (index < figures.length) ? figures[index].strip() : "";
		return WHOLE_NUMBER.matcher(figure).matches() ? Long.parseLong(figure) : 0;
	}

	String lastEventId() {
		return this.http.getHeader(WireNames.LAST_EVENT_ID);
	}

	/**
	 * Returns the parts of the prompt that other requests can have too.
	 * @return the parts
	 */
	Set<PromptPart> sharedParts() {
		return this.sharedParts;
	}

	/**
	 * Returns what is wrong with the caller's list of parts.
	 * @return a description for the log, or null if it can be read
	 */
	String unreadableParts() {
		return this.unreadableParts;
	}

	int bodyBytes() {
		return this.body.length;
	}

	Fingerprint fingerprint() {
		return Fingerprint.of(organisationName(), this.http.uri(), this.body);
	}

	/**
	 * Returns the request to send to one backend server. Hop-by-hop headers and those
	 * that only the entry may set are not copied from the caller.
	 * @param backendId id of the backend server
	 * @param remainingMs remaining time of the request
	 * @param enginePriority scheduling priority at the engine; negative for none
	 * @param requiredVersion oldest version of the weights that may run it; 0 for any
	 * @param lastEventId id of the last event that the caller has received, or null
	 * @return the request
	 */
	BackendRequest toBackendRequest(String backendId, long remainingMs, int enginePriority, long requiredVersion,
			String lastEventId) {
		List<Map.Entry<String, String>> headers = new ArrayList<>();
		MultiMap callerHeaders = this.http.headers();
		Set<String> hopByHopNames = hopByHopHeaderNames(callerHeaders);
		for (Map.Entry<String, String> header : callerHeaders) {
			String name = header.getKey().toLowerCase(Locale.ROOT);
			if (!ConnectionHeaders.contains(name) && !NOT_FORWARDED.contains(name) && !hopByHopNames.contains(name)) {
				headers.add(header);
			}
		}
		headers.add(Map.entry(WireNames.REMAINING_MS, Long.toString(remainingMs)));
		headers.add(Map.entry(WireNames.EXPECTED_BACKEND, backendId));
		this.organisation.ifPresent(
				(callerOrganisation) -> headers.add(Map.entry(WireNames.ORGANISATION, callerOrganisation.name())));
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

	private static Set<String> hopByHopHeaderNames(MultiMap callerHeaders) {
		String value = callerHeaders.get("Connection");
		if (value == null) {
			return Set.of();
		}
		Set<String> named = new HashSet<>();
		for (String name : value.split(",")) {
			String lower = name.strip().toLowerCase(Locale.ROOT);
			// A caller must not be able to remove the headers that identify the request
			// by listing them in its Connection header.
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
