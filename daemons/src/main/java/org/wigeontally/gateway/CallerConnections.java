package org.wigeontally.gateway;

import java.util.HashMap;
import java.util.List;
import java.util.Map;

import io.vertx.core.http.HttpConnection;
import io.vertx.core.http.HttpServerOptions;

import org.wigeontally.fleet.CallerLimits;
import org.wigeontally.fleet.ConnectionSweep;
import org.wigeontally.fleet.FleetConfiguration;

/**
 * The open connections of callers. Runs on the event loop.
 */
final class CallerConnections {

	private final GatewayContext context;

	private final Map<HttpConnection, CallerConnection> open = new HashMap<>();

	private final ConnectionSweep<CallerConnection> sweep = ConnectionSweep.create();

	CallerConnections(GatewayContext context) {
		this.context = context;
	}

	void add(HttpConnection connection, HttpServerOptions options) {
		this.open.put(connection, new CallerConnection(this.context, this::limits, connection, options));
		connection.closeHandler((v) -> this.open.remove(connection));
	}

	CallerConnection of(HttpConnection connection) {
		return this.open.get(connection);
	}

	int count() {
		return this.open.size();
	}

	/**
	 * Returns the number of connections whose callers are owed something.
	 * @return the number
	 */
	long countBusy() {
		return this.open.values().stream().filter(CallerConnection::isBusy).count();
	}

	/**
	 * Returns whether parts of responses have not been sent yet.
	 * @return true if there are any
	 */
	boolean hasUnsentBytes() {
		return this.open.values().stream().anyMatch(CallerConnection::hasUnsentBytes);
	}

	/**
	 * Returns whether headers of requests are being read.
	 * @return true if there are any
	 */
	boolean isReadingHeads() {
		return this.open.values().stream().anyMatch(CallerConnection::isReadingHead);
	}

	/**
	 * Returns the limits in force.
	 * @return the limits
	 */
	CallerLimits limits() {
		FleetConfiguration configuration = this.context.fleet().configuration();
		return (configuration != null) ? configuration.limits() : CallerLimits.DEFAULT;
	}

	/**
	 * Closes connections whose callers have sent no request, or no whole head, for too
	 * long.
	 */
	void closeExpired() {
		List<CallerConnection> expired = this.open.values().stream().filter(CallerConnection::isExpired).toList();
		if (this.sweep.suspect(expired, this.context.nowMs())) {
			this.context.vertx().setTimer(ConnectionSweep.CONFIRMATION_DELAY_MS, (id) -> closeConfirmed());
		}
	}

	/**
	 * Logs requests that have no answer although their callers' timeouts are over.
	 */
	void logOverdue() {
		this.open.values().forEach(CallerConnection::logIfOverdue);
	}

	private void closeConfirmed() {
		this.sweep.confirm(CallerConnection::isExpired, this.context.nowMs()).forEach(CallerConnection::closeExpired);
	}

}
