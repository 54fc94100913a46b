package org.wigeontally.entry;

import java.nio.charset.StandardCharsets;
import java.util.Optional;

import com.google.common.hash.Hashing;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpServerRequest;
import io.vertx.ext.web.RoutingContext;

import org.wigeontally.configuration.Configuration;
import org.wigeontally.errors.ErrorType;
import org.wigeontally.http.Headers;
import org.wigeontally.http.Refusal;
import org.wigeontally.misc.Clock;
import org.wigeontally.schema.generated.Organisation;
import org.wigeontally.schema.generated.Service;

/**
 * Parses a caller's request and checks it against the configuration: credential, service,
 * approval, and headers. Has no state; depends only on its arguments and the clock.
 */
final class RequestReader {

	static final String PATH_PREFIX = "/v1/services/";

	private static final String BEARER = "Bearer ";

	private static final long DEFAULT_DEADLINE_MS = 60_000;

	private static final int MAX_KEY_LENGTH = 200;

	private final Clock clock;

	RequestReader(Clock clock) {
		this.clock = clock;
	}

	/**
	 * Reads and checks a request.
	 * @param context the routing context, with the body read
	 * @param configuration the configuration in force
	 * @return the request
	 * @throws RefusedException if the request is invalid or not permitted
	 */
	CallerRequest read(RoutingContext context, Configuration configuration) throws RefusedException {
		HttpServerRequest http = context.request();
		// An encoded or dotted path would not match the list of at-most-once paths.
		if (!context.normalizedPath().equals(http.path())) {
			throw refused(ErrorType.BAD_REQUEST, "the path is not in normal form");
		}
		Organisation organisation = organisation(http, configuration);
		Service service = service(context, configuration);
		if (!configuration.isApproved(organisation.getName(), service.getName())) {
			throw refused(ErrorType.NOT_APPROVED, organisation.getName(), service.getName());
		}
		String path = http.uri().substring(PATH_PREFIX.length() + context.pathParam("service").length());
		long deadlineMs = this.clock.monotonicMs() + positiveNumber(http, Headers.DEADLINE_MS, DEFAULT_DEADLINE_MS);
		String key = headerOrEmpty(http, Headers.IDEMPOTENCY_KEY);
		if (key.length() > MAX_KEY_LENGTH) {
			throw refused(ErrorType.BAD_REQUEST, Headers.IDEMPOTENCY_KEY + " is longer than " + MAX_KEY_LENGTH);
		}
		long keyTimeMs = positiveNumber(http, Headers.KEY_TIME, 0);
		if (!key.isEmpty() && keyTimeMs == 0) {
			throw refused(ErrorType.BAD_REQUEST, Headers.KEY_TIME + " is missing");
		}
		Buffer body = (context.body().buffer() != null) ? context.body().buffer() : Buffer.buffer();
		return new CallerRequest(organisation, service, http.method(), path, body, priority(http), deadlineMs, key,
				keyTimeMs);
	}

	private static Organisation organisation(HttpServerRequest http, Configuration configuration)
			throws RefusedException {
		String header = headerOrEmpty(http, "Authorization");
		if (!header.startsWith(BEARER)) {
			throw refused(ErrorType.BAD_CREDENTIAL);
		}
		String digest = Hashing.sha256()
			.hashString(header.substring(BEARER.length()), StandardCharsets.UTF_8)
			.toString();
		Optional<Organisation> organisation = configuration.organisationByCredential(digest);
		return organisation.orElseThrow(() -> refused(ErrorType.BAD_CREDENTIAL));
	}

	private static Service service(RoutingContext context, Configuration configuration) throws RefusedException {
		String name = context.pathParam("service");
		return configuration.service(name).orElseThrow(() -> refused(ErrorType.UNKNOWN_SERVICE, name));
	}

	private static String priority(HttpServerRequest http) throws RefusedException {
		String priority = headerOrEmpty(http, Headers.PRIORITY);
		return switch (priority) {
			case "" -> "normal";
			case "high", "normal", "low" -> priority;
			default -> throw refused(ErrorType.BAD_REQUEST, Headers.PRIORITY + " must be high, normal or low");
		};
	}

	private static long positiveNumber(HttpServerRequest http, String header, long defaultValue)
			throws RefusedException {
		String value = http.getHeader(header);
		if (value == null) {
			return defaultValue;
		}
		try {
			long number = Long.parseLong(value);
			if (number > 0) {
				return number;
			}
		}
		catch (NumberFormatException ex) {
			throw refused(ErrorType.BAD_REQUEST, header + " must be a whole number above 0");
		}
		throw refused(ErrorType.BAD_REQUEST, header + " must be a whole number above 0");
	}

	private static String headerOrEmpty(HttpServerRequest http, String header) {
		String value = http.getHeader(header);
		return (value != null) ? value : "";
	}

	private static RefusedException refused(ErrorType error, Object... arguments) {
		return RefusedException.of(Refusal.notRun(error, Refusal.NO_RETRY, arguments));
	}

}
