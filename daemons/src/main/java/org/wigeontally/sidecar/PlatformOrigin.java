package org.wigeontally.sidecar;

import java.util.NavigableMap;

import io.vertx.core.Future;
import io.vertx.core.buffer.Buffer;

import org.wigeontally.eventlog.EventLog;
import org.wigeontally.eventlog.LogEvent;
import org.wigeontally.platform.wire.EngineClient;
import org.wigeontally.spread.OriginClient;

/**
 * The platform's origin, which names pieces by their number and gives digests instead of
 * manifests. Runs on the event loop.
 */
final class PlatformOrigin implements OriginClient {

	private static final long PIECE_TIMEOUT_MS = 2_500;

	private final EngineClient client;

	private final FleetView view;

	private final EventLog log;

	private final NavigableMap<Long, CollectedVersion> versions;

	/**
	 * Creates the origin.
	 * @param client carries the calls
	 * @param view tells where the origin is
	 * @param log where failures are written
	 * @param versions versions that are collected, by number; changes are seen
	 */
	PlatformOrigin(EngineClient client, FleetView view, EventLog log, NavigableMap<Long, CollectedVersion> versions) {
		this.client = client;
		this.view = view;
		this.log = log;
		this.versions = versions;
	}

	@Override
	public Future<byte[]> manifest(String digest) {
		for (CollectedVersion collected : this.versions.values()) {
			if (collected.model().getManifest().equals(digest)) {
				return Future.succeededFuture(collected.manifest().toByteArray());
			}
		}
		return Future.failedFuture("manifest of another version");
	}

	@Override
	public Future<byte[]> chunk(String digest, int size) {
		for (CollectedVersion collected : this.versions.descendingMap().values()) {
			Integer index = collected.index(digest).orElse(null);
			if (index != null) {
				return piece(collected, index);
			}
		}
		return Future.failedFuture("piece of another version");
	}

	private Future<byte[]> piece(CollectedVersion collected, int index) {
		collected.askedOrigin();
		return this.client
			.piece(this.view.briefing().getOrigin(), this.view.model(), collected.version(), index, PIECE_TIMEOUT_MS)
			.map(Buffer::getBytes)
			.onFailure((failure) -> this.log.write(LogEvent.PIECE_FAILED, "piece", index, "version",
					collected.version(), "source", "origin", "reason", failure.getMessage()));
	}

}
