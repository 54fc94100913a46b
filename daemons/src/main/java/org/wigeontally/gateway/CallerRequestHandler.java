package org.wigeontally.gateway;

import java.util.HashMap;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;

import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpConnection;
import io.vertx.core.http.HttpServerRequest;
import io.vertx.core.http.HttpServerResponse;

import org.wigeontally.eventlog.LogEvent;
import org.wigeontally.fleet.CallerLimits;
import org.wigeontally.fleet.FleetConfiguration;
import org.wigeontally.fleet.Organisation;
import org.wigeontally.fleet.Route;
import org.wigeontally.platform.wire.WireNames;

/**
 * Takes callers' requests: reads the body, finds the route, checks the key, and answers
 * at once what cannot be served. Runs on the event loop.
 */
final class CallerRequestHandler {

	/** Returns of callers while no configuration is known. */
	private static final double NO_CONFIGURATION_RETURN_S = 0.3;

	/**
	 * Returns of callers whom a leaving entry turns away; they find another one at once.
	 */
	private static final double LEAVING_RETURN_S = 0;

	/** Time that a caller without a deadline is taken to wait. */
	private static final long USUAL_DEADLINE_MS = 30_000;

	private final GatewayContext context;

	private final CandidateSelector selection;

	private final Map<HttpConnection, Long> idleSinceMs = new HashMap<>();

	CallerRequestHandler(GatewayContext context, CandidateSelector selection) {
		this.context = context;
		this.selection = selection;
	}

	void connectionOpened(HttpConnection connection) {
		this.idleSinceMs.put(connection, this.context.nowMs());
		connection.closeHandler((v) -> this.idleSinceMs.remove(connection));
	}

	/**
	 * Closes connections that were idle for longer than the configuration allows.
	 */
	void closeIdle() {
		long nowMs = this.context.nowMs();
		long limitMs = limits().idleTimeoutMs();
		this.idleSinceMs.entrySet()
			.stream()
			.filter((entry) -> nowMs - entry.getValue() > limitMs)
			.map(Map.Entry::getKey)
			.toList()
			.forEach(HttpConnection::close);
	}

	private CallerLimits limits() {
		FleetConfiguration configuration = this.context.fleet().configuration();
		return (configuration != null) ? configuration.limits() : CallerLimits.DEFAULT;
	}

	void handle(HttpServerRequest request) {
		long receivedAtMs = this.context.nowMs();
		HttpConnection connection = request.connection();
		this.idleSinceMs.remove(connection);
		request.response().endHandler((v) -> this.idleSinceMs.put(connection, this.context.nowMs()));
		CallerLimits limits = limits();
		if (headerBytes(request) > limits.maxHeaderBytes()) {
			reject(request, LocalResponse.rejected(431, "headers-too-large"));
			return;
		}
		String declared = request.getHeader("Content-Length");
		if (declared != null && declared.length() <= 18 && Long.parseLong(declared) > limits.maxBodyBytes()) {
			reject(request, LocalResponse.rejected(413, "body-too-large"));
			return;
		}
		Buffer body = Buffer.buffer();
		boolean[] tooLarge = new boolean[1];
		request.handler((part) -> {
			if (tooLarge[0]) {
				return;
			}
			body.appendBuffer(part);
			if (body.length() > limits.maxBodyBytes()) {
				tooLarge[0] = true;
				reject(request, LocalResponse.rejected(413, "body-too-large"));
			}
		});
		request.exceptionHandler((failure) -> tooLarge[0] = true);
		request.endHandler((v) -> {
			if (!tooLarge[0]) {
				route(request, body.getBytes(), receivedAtMs);
			}
		});
	}

	private static long headerBytes(HttpServerRequest request) {
		long bytes = request.uri().length();
		for (Map.Entry<String, String> header : request.headers()) {
			bytes += header.getKey().length() + header.getValue().length() + 4;
		}
		return bytes;
	}

	private void route(HttpServerRequest request, byte[] body, long receivedAtMs) {
		FleetConfiguration configuration = this.context.fleet().configuration();
		if (configuration == null) {
			answer(request, LocalResponse.notRun("no-configuration", NO_CONFIGURATION_RETURN_S));
			return;
		}
		if (!this.context.takesRequests()) {
			answer(request, LocalResponse.notRun("leaving", LEAVING_RETURN_S));
			return;
		}
		Optional<Route> route = configuration.route(host(request), request.path());
		if (route.isEmpty()) {
			answer(request, LocalResponse.rejected(404, "no-route"));
			return;
		}
		Optional<Organisation> organisation = configuration.organisation(request.getHeader(WireNames.KEY));
		if (configuration.requiresKeys() && !route.get().keyExempt() && organisation.isEmpty()) {
			answer(request, LocalResponse.rejected(401, "unknown-key"));
			return;
		}
		String id = request.getHeader(WireNames.ATTEMPT_ID);
		if (id == null || id.isEmpty()) {
			answer(request, LocalResponse.rejected(400, "no-attempt-id"));
			return;
		}
		String service = route.get().pickService(this.context.random().nextDouble());
		CallerRequest taken = new CallerRequest(request, route.get(), organisation, service, body, receivedAtMs,
				deadlineMs(request));
		new RequestRelay(this.context, this.selection, taken).start();
	}

	private static long deadlineMs(HttpServerRequest request) {
		String value = request.getHeader(WireNames.TIME_LEFT_MS);
		if (value == null) {
			return USUAL_DEADLINE_MS;
		}
		try {
			return (long) Double.parseDouble(value);
		}
		catch (NumberFormatException ex) {
			// A caller that gives no readable time is served within the route's time
			// limit.
			return USUAL_DEADLINE_MS;
		}
	}

	private static String host(HttpServerRequest request) {
		String header = request.getHeader("Host");
		if (header == null) {
			return "";
		}
		int port = header.lastIndexOf(':');
		String name = (port > 0 && header.indexOf(']') < port) ? header.substring(0, port) : header;
		return name.toLowerCase(Locale.ROOT);
	}

	private void reject(HttpServerRequest request, LocalResponse answer) {
		HttpServerResponse response = request.response();
		if (response.ended()) {
			return;
		}
		this.context.log()
			.write(LogEvent.REQUEST_REFUSED, "id", request.getHeader(WireNames.ATTEMPT_ID), "status", answer.status(),
					"reason", answer.reason());
		// The rest of the body is not read, so the connection cannot be used again.
		writeResponse(response, answer, true);
	}

	private void answer(HttpServerRequest request, LocalResponse answer) {
		FleetConfiguration configuration = this.context.fleet().configuration();
		this.context.log()
			.write(LogEvent.REQUEST_REFUSED, "id", request.getHeader(WireNames.ATTEMPT_ID), "host", host(request),
					"path", request.path(), "status", answer.status(), "reason", answer.reason(), "configuration",
					(configuration != null) ? configuration.version() : 0);
		this.context.metrics().answered("none", "none", answer.reason());
		writeResponse(request.response(), answer, this.context.leaving());
	}

	static void writeResponse(HttpServerResponse response, LocalResponse answer, boolean close) {
		if (response.ended() || response.closed()) {
			return;
		}
		response.setStatusCode(answer.status()).putHeader("Content-Type", "text/plain");
		if (answer.retryAfterSeconds() >= 0) {
			response.putHeader("Retry-After", returnText(answer.retryAfterSeconds()));
		}
		if (close) {
			response.putHeader("Connection", "close");
		}
		response.end(answer.reason() + "\n");
	}

	private static String returnText(double seconds) {
		return String.format(Locale.ROOT, "%.3f", seconds);
	}

}
