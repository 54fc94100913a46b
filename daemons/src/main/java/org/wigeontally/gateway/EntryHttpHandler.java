package org.wigeontally.gateway;

import java.util.ArrayList;
import java.util.List;

import io.vertx.core.http.HttpServerRequest;

import org.wigeontally.eventlog.LogEvent;
import org.wigeontally.fleet.AllowedRegions;
import org.wigeontally.fleet.DirectoryQuery;
import org.wigeontally.fleet.EntrySelection;
import org.wigeontally.fleet.EntryTable;
import org.wigeontally.fleet.FleetConfiguration;
import org.wigeontally.fleet.Route;
import org.wigeontally.platform.wire.DirectoryCodec;
import org.wigeontally.platform.wire.WireNames;
import org.wigeontally.schema.generated.EntryNews;

/**
 * Serves the readiness check of the platform and the directory, which lists the addresses
 * of entries for callers. Runs on the event loop.
 */
final class EntryHttpHandler {

	private static final double DIRECTORY_TTL_S = 2;

	private final GatewayContext context;

	private final EntryTable entries;

	private final EntryExchange exchange;

	EntryHttpHandler(GatewayContext context, EntryTable entries, EntryExchange exchange) {
		this.context = context;
		this.entries = entries;
		this.exchange = exchange;
	}

	void handleReady(HttpServerRequest request) {
		boolean ready = WireNames.isReadinessPath(request.path()) && this.context.isReady();
		request.response().setStatusCode(ready ? 200 : 503).end();
	}

	void handleDirectory(HttpServerRequest request) {
		if (!WireNames.isDirectoryPath(request.path())) {
			request.response().setStatusCode(404).end();
			return;
		}
		DirectoryQuery query = DirectoryCodec.decodeQuery(request);
		List<EntryNews> liveEntries = new ArrayList<>(this.entries.liveEntries(this.context.nowMs()));
		liveEntries.add(this.exchange.ownNews().build());
		FleetConfiguration configuration = this.context.fleet().configuration();
		AllowedRegions regions = (configuration != null) ? allowedRegions(configuration, query.host())
				: AllowedRegions.all();
		List<String> addresses = EntrySelection.selectAddresses(query, liveEntries, regions);
		this.context.metrics().recordDirectoryAnswer(!addresses.isEmpty());
		if (addresses.isEmpty()) {
			this.context.log()
				.write(LogEvent.DIRECTORY_EMPTY, "name", query.host(), "zone", query.zone(), "known",
						liveEntries.size(), "ready", liveEntries.stream().filter(EntryNews::getReady).count(),
						"own-ready", this.context.isReady(), "draining", this.context.isDraining(), "configuration",
						this.context.fleet().configurationVersion());
			request.response().setStatusCode(503).end();
			return;
		}
		double ttlS = Math.min(DIRECTORY_TTL_S, this.context.settings().getBounds().getDirectoryTtlS());
		request.response()
			.putHeader("Content-Type", "application/json")
			.end(DirectoryCodec.encodeResponse(addresses, ttlS));
	}

	private static AllowedRegions allowedRegions(FleetConfiguration configuration, String host) {
		return configuration.routes(host)
			.stream()
			.map(Route::regions)
			.reduce(AllowedRegions::or)
			.orElse(AllowedRegions.all());
	}

}
