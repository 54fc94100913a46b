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
final class PlatformOriginClient implements OriginClient {

	private static final long CHUNK_TIMEOUT_MS = 2_500;

	private final EngineClient client;

	private final FleetView view;

	private final EventLog log;

	private final NavigableMap<Long, VersionDownload> downloads;

	/**
	 * Creates the origin.
	 * @param client carries the calls
	 * @param view tells where the origin is
	 * @param log where failures are written
	 * @param downloads versions that are collected, by number; changes are seen
	 */
	PlatformOriginClient(EngineClient client, FleetView view, EventLog log,
			NavigableMap<Long, VersionDownload> downloads) {
		this.client = client;
		this.view = view;
		this.log = log;
		this.downloads = downloads;
	}

	@Override
	public Future<byte[]> fetchManifest(String digest) {
		for (VersionDownload download : this.downloads.values()) {
			if (download.model().getManifest().equals(digest)) {
				return Future.succeededFuture(download.manifest().toByteArray());
			}
		}
		return Future.failedFuture("manifest of another version");
	}

	@Override
	public Future<byte[]> fetchChunk(String digest, int size) {
		for (VersionDownload download : this.downloads.descendingMap().values()) {
			Integer index = download.chunkIndex(digest).orElse(null);
			if (index != null) {
				return fetchChunk(download, index);
			}
		}
		return Future.failedFuture("piece of another version");
	}

	private Future<byte[]> fetchChunk(VersionDownload download, int index) {
		download.recordOriginRequest();
		return this.client
			.fetchChunk(this.view.briefing().getOrigin(), this.view.model(), download.version(), index,
					CHUNK_TIMEOUT_MS)
			.map(Buffer::getBytes)
			.onFailure((failure) -> this.log.write(LogEvent.PIECE_FAILED, "piece", index, "version", download.version(),
					"source", "origin", "reason", failure.getMessage()));
	}

}
