package org.wigeontally.gateway;

import java.util.Locale;
import java.util.Map;
import java.util.Optional;

import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpServerRequest;
import io.vertx.core.http.HttpServerResponse;

import org.wigeontally.eventlog.LogEvent;
import org.wigeontally.fleet.CallerLimits;
import org.wigeontally.fleet.FleetConfiguration;
import org.wigeontally.fleet.Organisation;
import org.wigeontally.fleet.Route;
import org.wigeontally.limits.MemoryBudget;
import org.wigeontally.platform.wire.WireNames;

/**
 * Handles requests of callers: reads the body, finds the route and checks the key. It
 * refuses requests that cannot be served and passes the others to a {@link RequestRelay}.
 * Runs on the event loop.
 */
final class CallerRequestHandler {

	/** Retry delay for callers while the entry has no configuration. */
	private static final double NO_CONFIGURATION_RETRY_AFTER_S = 0.3;

	/** Retry delay for callers of a route whose services all have the weight zero. */
	private static final double NO_SERVICE_RETRY_AFTER_S = 1;

	/** Time within which other requests release memory. */
	private static final double NO_MEMORY_RETRY_AFTER_S = 0.1;

	/** Other entries can serve the caller at once. */
	private static final double OUTDATED_RETRY_AFTER_S = 0.05;

	/** Time within which a newer configuration usually arrives. */
	private static final double BEHIND_RETRY_AFTER_S = 0.3;

	/** Assumed timeout of a caller that sends none. */
	private static final long DEFAULT_CALLER_TIMEOUT_MS = 30_000;

	/** Maximum time from the head of a request to the end of its body. */
	private static final long MAX_BODY_TIME_MS = 30_000;

	private final GatewayContext context;

	private final QueuedPlacement placement;

	private final PermitClient permits;

	private final CallerConnections connections;

	CallerRequestHandler(GatewayContext context, CallerConnections connections, QueuedPlacement placement,
			PermitClient permits) {
		this.context = context;
		this.connections = connections;
		this.placement = placement;
		this.permits = permits;
	}

	void handle(HttpServerRequest request) {
		CallerConnection connection = this.connections.of(request.connection());
		if (connection == null || connection.isClosing()) {
			this.context.log()
				.write(LogEvent.REQUEST_REFUSED, "id", request.getHeader(WireNames.ATTEMPT_ID), "reason",
						"connection-closing");
			return;
		}
		request.response().endHandler((v) -> connection.answered());
		try {
			read(connection, request);
		}
		catch (RuntimeException | VirtualMachineError ex) {
			logFault(request, ex);
			refuseAndClose(connection, request, LocalResponse.unknownOutcome("failure"));
		}
	}

	private void read(CallerConnection connection, HttpServerRequest request) {
		long receivedAtMs = this.context.nowMs();
		connection.handlingBegun(request.getHeader(WireNames.ATTEMPT_ID),
				receivedAtMs + Math.min(callerTimeoutMs(request), DEFAULT_CALLER_TIMEOUT_MS));
		CallerLimits limits = this.connections.limits();
		if (headerBytes(request) > limits.maxHeaderBytes()) {
			refuseAndClose(connection, request, LocalResponse.rejected(431, "headers-too-large"));
			return;
		}
		String contentLength = request.getHeader("Content-Length");
		if (contentLength != null && contentLength.length() <= 18
				&& Long.parseLong(contentLength) > limits.maxBodyBytes()) {
			refuseAndClose(connection, request, LocalResponse.rejected(413, "body-too-large"));
			return;
		}
		new BodyReader(connection, request, receivedAtMs).start(limits.maxBodyBytes());
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
			refuse(request, LocalResponse.notRun("no-configuration", NO_CONFIGURATION_RETRY_AFTER_S));
			return;
		}
		if (this.context.isConfigurationOutdated()) {
			refuse(request, LocalResponse.notRun("configuration-outdated", OUTDATED_RETRY_AFTER_S));
			return;
		}
		Optional<Route> route = configuration.route(host(request), request.path());
		if (route.isEmpty()) {
			refuseUnknown(request, LocalResponse.rejected(404, "no-route"));
			return;
		}
		Optional<Organisation> organisation = configuration.apiKeys()
			.organisation(request.getHeader(WireNames.API_KEY));
		if (configuration.apiKeys().areRequired() && !route.get().keyExempt() && organisation.isEmpty()) {
			refuseUnknown(request, LocalResponse.rejected(401, "unknown-key"));
			return;
		}
		String id = request.getHeader(WireNames.ATTEMPT_ID);
		if (id == null || id.isEmpty()) {
			refuse(request, LocalResponse.rejected(400, "no-attempt-id"));
			return;
		}
		// It cannot be written to a backend server.
		if (request.headers().contains("")) {
			refuse(request, LocalResponse.rejected(400, "header-without-name"));
			return;
		}
		Optional<String> service = route.get().pickService(this.context.random().nextDouble());
		if (service.isEmpty()) {
			refuse(request, LocalResponse.notRun("no-service", NO_SERVICE_RETRY_AFTER_S));
			return;
		}
		CallerRequest callerRequest = new CallerRequest(request, route.get(), organisation, service.get(), body,
				receivedAtMs, callerTimeoutMs(request));
		new RequestRelay(this.context, this.placement, this.permits, callerRequest).start();
	}

	private static long callerTimeoutMs(HttpServerRequest request) {
		String value = request.getHeader(WireNames.REMAINING_MS);
		if (value == null) {
			return DEFAULT_CALLER_TIMEOUT_MS;
		}
		try {
			return (long) Double.parseDouble(value);
		}
		catch (NumberFormatException ex) {
			// An invalid value is treated like a missing one; the route's timeout still
			// applies.
			return DEFAULT_CALLER_TIMEOUT_MS;
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

	// The rest of the body is not used, so the connection cannot be reused.
	private void refuseAndClose(CallerConnection connection, HttpServerRequest request, LocalResponse refusal) {
		HttpServerResponse response = request.response();
		if (response.ended()) {
			return;
		}
		this.context.log()
			.write(LogEvent.REQUEST_REFUSED, "id", request.getHeader(WireNames.ATTEMPT_ID), "status", refusal.status(),
					"reason", refusal.reason());
		// The end of a response starts the next request that has been read.
		connection.closeAfterResponse(refusal.reason());
		writeResponse(response, refusal, true);
	}

	// A newer configuration may have the route or the key.
	private void refuseUnknown(HttpServerRequest request, LocalResponse refusal) {
		boolean behind = this.context.isConfigurationBehind();
		refuse(request, behind ? LocalResponse.notRun("configuration-outdated", BEHIND_RETRY_AFTER_S) : refusal);
	}

	private void refuse(HttpServerRequest request, LocalResponse refusal) {
		FleetConfiguration configuration = this.context.fleet().configuration();
		this.context.log()
			.write(LogEvent.REQUEST_REFUSED, "id", request.getHeader(WireNames.ATTEMPT_ID), "host", host(request),
					"path", request.path(), "status", refusal.status(), "reason", refusal.reason(), "configuration",
					(configuration != null) ? configuration.version() : 0);
		this.context.metrics().recordAnswer("none", "none", refusal.reason());
		boolean leave = this.context.isDraining() || this.context.isConfigurationOutdated();
		writeResponse(request.response(), refusal, leave);
	}

	static void writeResponse(HttpServerResponse response, LocalResponse localResponse, boolean close) {
		if (response.ended() || response.closed()) {
			return;
		}
		response.setStatusCode(localResponse.status()).putHeader("Content-Type", "text/plain");
		if (localResponse.retryAfterSeconds() >= 0) {
			response.putHeader("Retry-After", formatSeconds(localResponse.retryAfterSeconds()));
		}
		if (close) {
			response.putHeader("Connection", "close");
		}
		response.end(localResponse.reason() + "\n");
	}

	private void logFault(HttpServerRequest request, Throwable failure) {
		this.context.log()
			.write(LogEvent.FAULT, "id", request.getHeader(WireNames.ATTEMPT_ID), "reason", failure.toString());
	}

	private static String formatSeconds(double seconds) {
		return String.format(Locale.ROOT, "%.3f", seconds);
	}

	/**
	 * Reads the body of one request. A request is routed only with its whole body: if any
	 * part of it was not kept, the request is refused.
	 */
	private final class BodyReader {

		private final CallerConnection connection;

		private final HttpServerRequest request;

		private final long receivedAtMs;

		private ByteBlocks body = new ByteBlocks();

		private final MemoryBudget.Holder memory;

		private boolean ended;

		private long timer;

		private BodyReader(CallerConnection connection, HttpServerRequest request, long receivedAtMs) {
			this.connection = connection;
			this.request = request;
			this.receivedAtMs = receivedAtMs;
			this.memory = CallerRequestHandler.this.context.memory()
				.open(() -> refuseBody(LocalResponse.notRun("no-memory", NO_MEMORY_RETRY_AFTER_S)));
		}

		private void start(long maxBytes) {
			long timeMs = Math.max(1, Math.min(callerTimeoutMs(this.request), MAX_BODY_TIME_MS));
			this.timer = CallerRequestHandler.this.context.vertx()
				.setTimer(timeMs, (id) -> refuseBody(LocalResponse.rejected(408, "body-too-slow")));
			this.request.handler((part) -> append(part, maxBytes));
			this.request.exceptionHandler((failure) -> end());
			this.request.endHandler((v) -> routeWhole());
		}

		private void append(Buffer part, long maxBytes) {
			if (this.ended) {
				return;
			}
			try {
				this.body.append(part.getBytes());
			}
			catch (RuntimeException | VirtualMachineError ex) {
				logFault(this.request, ex);
				refuseBody(LocalResponse.notRun("body-not-read", NO_MEMORY_RETRY_AFTER_S));
				return;
			}
			if (this.body.length() > maxBytes) {
				refuseBody(LocalResponse.rejected(413, "body-too-large"));
				return;
			}
			this.memory.hold(this.body.allocatedBytes());
		}

		private void routeWhole() {
			if (this.ended) {
				return;
			}
			ByteBlocks whole = this.body;
			end();
			try {
				route(this.request, whole.toByteArray(), this.receivedAtMs);
			}
			catch (RuntimeException | VirtualMachineError ex) {
				logFault(this.request, ex);
				refuseAndClose(this.connection, this.request, LocalResponse.unknownOutcome("failure"));
			}
		}

		private void refuseBody(LocalResponse refusal) {
			if (!this.ended) {
				end();
				refuseAndClose(this.connection, this.request, refusal);
			}
		}

		private void end() {
			this.ended = true;
			// The connection may keep the handlers of this request for long.
			this.body = null;
			this.memory.close();
			CallerRequestHandler.this.context.vertx().cancelTimer(this.timer);
		}

	}

}
