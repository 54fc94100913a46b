package org.wigeontally.sidecar;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.NavigableMap;
import java.util.Optional;

import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.buffer.Buffer;

import org.wigeontally.eventlog.EventLog;
import org.wigeontally.eventlog.LogEvent;
import org.wigeontally.platform.wire.EngineClient;
import org.wigeontally.spread.OriginClient;
import org.wigeontally.weights.OriginConnectionLimit;

/**
 * Client of the platform's origin, which identifies chunks by their index and provides
 * digests instead of manifests. Keeps to this host's share of the origin's connections.
 * Runs on the event loop.
 */
final class PlatformOriginClient implements OriginClient {

	private static final long CHUNK_TIMEOUT_MS = 2_500;

	private final EngineClient client;

	private final FleetView view;

	private final EventLog log;

	private final NavigableMap<Long, VersionDownload> downloads;

	// Requests that wait for one of the connections that this host may open.
	private final Deque<Runnable> waiting = new ArrayDeque<>();

	private int activeRequests;

	/**
	 * Creates the client.
	 * @param client sends the requests
	 * @param view provides the address of the origin
	 * @param log receives an event for each failed request
	 * @param downloads the current downloads by version number; a live map
	 */
	PlatformOriginClient(EngineClient client, FleetView view, EventLog log,
			NavigableMap<Long, VersionDownload> downloads) {
		this.client = client;
		this.view = view;
		this.log = log;
		this.downloads = downloads;
	}

	@Override
	public boolean knowsManifest(String digest) {
		return findDownload(digest).isPresent();
	}

	@Override
	public Future<byte[]> fetchManifest(String digest) {
		return findDownload(digest).map((download) -> Future.succeededFuture(download.manifest().toByteArray()))
			.orElseGet(() -> Future.failedFuture("the manifest belongs to no version being fetched"));
	}

	private Optional<VersionDownload> findDownload(String manifestDigest) {
		return this.downloads.values()
			.stream()
			.filter((download) -> download.model().getManifest().equals(manifestDigest))
			.findFirst();
	}

	@Override
	public Future<byte[]> fetchChunk(String digest, int size) {
		for (VersionDownload download : this.downloads.descendingMap().values()) {
			Integer index = download.chunkIndex(digest).orElse(null);
			if (index != null) {
				return fetchChunk(download, index);
			}
		}
		return Future.failedFuture("the chunk belongs to no version being fetched");
	}

	private Future<byte[]> fetchChunk(VersionDownload download, int index) {
		Promise<byte[]> fetched = Promise.promise();
		// Within compose whatever is thrown fails the future, so that the request ends.
		this.waiting.add(() -> Future.succeededFuture()
			.compose((start) -> requestChunk(download, index))
			.onComplete((result) -> {
				this.activeRequests--;
				try {
					fetched.handle(result);
				}
				finally {
					startWaiting();
				}
			}));
		startWaiting();
		return fetched.future();
	}

	private void startWaiting() {
		int limit = OriginConnectionLimit.perHost(this.view.briefing().getOriginConnections(), this.view.agentCount());
		while (!this.waiting.isEmpty() && this.activeRequests < limit) {
			this.activeRequests++;
			this.waiting.poll().run();
		}
	}

	private Future<byte[]> requestChunk(VersionDownload download, int index) {
		if (!this.downloads.containsValue(download)) {
			return Future.failedFuture("version " + download.version() + " was abandoned before its turn");
		}
		download.recordOriginRequest();
		return this.client
			.fetchChunk(this.view.briefing().getOrigin(), this.view.model(), download.version(), index,
					CHUNK_TIMEOUT_MS)
			.map(Buffer::getBytes)
			.onFailure((failure) -> this.log.write(LogEvent.PIECE_FAILED, "piece", index, "version", download.version(),
					"source", "origin", "connections", this.client.openConnections(this.view.briefing().getOrigin()),
					"reason", failure.getMessage()));
	}

}
