package org.wigeontally.sidecar;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.function.LongSupplier;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.http.HttpServerRequest;

import org.wigeontally.eventlog.EventLog;
import org.wigeontally.eventlog.LogEvent;
import org.wigeontally.misc.Clock;
import org.wigeontally.platform.wire.EngineClient;
import org.wigeontally.schema.generated.Address;
import org.wigeontally.schema.generated.AgentBriefing;
import org.wigeontally.schema.generated.AgentPlace;
import org.wigeontally.schema.generated.BackendState;
import org.wigeontally.schema.generated.HostIdentity;
import org.wigeontally.schema.generated.HostSettings;
import org.wigeontally.schema.generated.HostState;
import org.wigeontally.schema.generated.Liveness;
import org.wigeontally.schema.generated.Role;
import org.wigeontally.schema.generated.VersionPhase;
import org.wigeontally.schema.generated.VersionProgress;
import org.wigeontally.settings.Addresses;
import org.wigeontally.spread.UploadTransport;
import org.wigeontally.spread.WeightNode;
import org.wigeontally.spread.WeightSettings;
import org.wigeontally.weights.VerifiedWeights;
import org.wigeontally.weights.VersionFetchPolicy;
import org.wigeontally.weights.VersionLoadPolicy;

/**
 * Fetches the weights of the versions that the engine should load: the newest version,
 * and an older one if most of its chunks are already held. The digests come from the
 * origin. All agents build the same manifest from them, so that they can exchange chunks.
 * Chunks that the engine has already staged are verified and reused, so that a restart of
 * this process does not fetch them again. Runs on the event loop.
 */
final class WeightCollector {

	/**
	 * Share of the host's link that weights may use. The rest is reserved for response
	 * streams and status reports: of a link of 5.3 Mbit/s, a full engine's streams take
	 * about 0.4 Mbit/s and reports to 67 entries 0.25.
	 */
	private static final double LINK_SHARE = 0.85;

	/**
	 * Share of the link that weights may use while the engine has no weights loaded and
	 * so serves no requests. The rest is reserved for status reports and protocol
	 * overhead.
	 */
	private static final double IDLE_LINK_SHARE = 0.95;

	private static final int KBIT_PER_MBIT = 1_000;

	private static final int CHUNK_MEMORY_MB = 48;

	private static final long DIGESTS_TIMEOUT_MS = 1_500;

	private static final long BACKOFF_STEP_MS = 100;

	private static final long MAX_BACKOFF_MS = 600;

	private final Clock clock;

	private final EventLog log;

	private final HostSettings settings;

	private final Address ownAddress;

	private final FleetView view;

	private final EngineClient engine;

	private final Vertx vertx;

	/** Time until the engine has to load another version; 0 if it serves no requests. */
	private final LongSupplier remainingServiceMs;

	// Null until the region of the origin is known, because that region determines which
	// hosts fetch from the origin.
	private WeightNode weightNode;

	private final TreeMap<Long, VersionDownload> downloads = new TreeMap<>();

	/** Duration of the last fetch that read no chunks from the engine; 0 if none. */
	private long usualFetchMs;

	private boolean digestRequestInProgress;

	private int digestRequestFailures;

	private long nextDigestRequestMs = Long.MIN_VALUE;

	WeightCollector(Vertx vertx, Clock clock, EventLog log, HostSettings settings, Address ownAddress, FleetView view,
			EngineClient engine, LongSupplier remainingServiceMs) {
		this.remainingServiceMs = remainingServiceMs;
		this.clock = clock;
		this.log = log;
		this.settings = settings;
		this.ownAddress = ownAddress;
		this.view = view;
		this.engine = engine;
		this.vertx = vertx;
	}

	private void startNode() {
		WeightSettings weightSettings = new WeightSettings(hostIdentity(), this.view.briefing().getOriginRegion(),
				CHUNK_MEMORY_MB, linkShareKbps(LINK_SHARE), Map.of(), UploadTransport.DIRECT, true);
		this.weightNode = WeightNode.start(this.vertx, weightSettings, this::peerStates,
				new PlatformOriginClient(this.engine, this.view, this.log, this.downloads), this.clock,
				this.settings.getHost().hashCode());
	}

	private int linkShareKbps(double share) {
		return (int) (this.settings.getLinkMbps() * KBIT_PER_MBIT * share);
	}

	/**
	 * Adapts the link rate to whether the engine serves requests, whose response streams
	 * share the link.
	 * @param serving true if the engine has weights loaded
	 */
	void setEngineServing(boolean serving) {
		if (this.weightNode != null) {
			this.weightNode.setUploadRateKbps(linkShareKbps(serving ? LINK_SHARE : IDLE_LINK_SHARE));
		}
	}

	/**
	 * Handles a request of another agent.
	 * @param request a request for chunks
	 */
	void handle(HttpServerRequest request) {
		if (this.weightNode == null) {
			request.response().setStatusCode(404).end();
			return;
		}
		this.weightNode.router().handle(request);
	}

	/**
	 * Starts and continues the fetch of a version and of older versions still kept.
	 * @param version the version to fetch
	 */
	void collect(long version) {
		if (this.weightNode == null) {
			startNode();
		}
		if (!this.downloads.containsKey(version)) {
			fetchDigests(version);
		}
		for (VersionDownload download : this.downloads.values()) {
			if (download.verifiedWeights().isEmpty()) {
				checkVerified(download);
			}
			startFetchIfAllowed(download);
		}
	}

	private void startFetchIfAllowed(VersionDownload download) {
		if (!this.view.arePeersKnown(this.clock.monotonicMs())) {
			return;
		}
		boolean olderIncomplete = this.downloads.headMap(download.version())
			.values()
			.stream()
			.anyMatch((older) -> older.verifiedWeights().isEmpty());
		if (download.tryStartFetch(olderIncomplete, this.clock.monotonicMs())) {
			this.weightNode.fetchAdditionalVersion(download.model());
		}
	}

	private void checkVerified(VersionDownload download) {
		this.weightNode.verifiedWeights(this.view.model(), Long.toString(download.version())).ifPresent((verified) -> {
			download.setVerifiedWeights(verified);
			if (download.isFetchedCompletely()) {
				this.usualFetchMs = download.ageMs(this.clock.monotonicMs());
			}
			this.log.write(LogEvent.WEIGHTS, "phase", "whole", "version", download.version(), "after-ms",
					download.ageMs(this.clock.monotonicMs()), "from-origin", download.originRequestCount(), "pieces",
					download.chunkCount());
		});
	}

	/**
	 * Returns the weights of a version whose chunks are all held and verified.
	 * @param version the version
	 * @return the weights; empty if chunks are missing
	 */
	Optional<VerifiedWeights> verifiedWeights(long version) {
		VersionDownload download = this.downloads.get(version);
		return (download != null) ? download.verifiedWeights() : Optional.empty();
	}

	/**
	 * Drops the versions older than the one that the engine has loaded.
	 * @param loadedVersion the version that the engine has loaded
	 */
	void dropVersionsBefore(long loadedVersion) {
		if (this.weightNode == null) {
			return;
		}
		if (this.downloads.headMap(loadedVersion).isEmpty() || !this.downloads.containsKey(loadedVersion)) {
			return;
		}
		this.downloads.headMap(loadedVersion).clear();
		this.weightNode.markServing(this.view.model(), Long.toString(loadedVersion));
	}

	/**
	 * Returns the newest version whose chunks are all held and verified.
	 * @return the version; 0 for none
	 */
	long newestVerifiedVersion() {
		for (long version : this.downloads.descendingKeySet()) {
			if (verifiedWeights(version).isPresent()) {
				return version;
			}
		}
		return 0;
	}

	/**
	 * Returns whether a version is expected to be complete within a time, extrapolated
	 * from the chunks verified so far.
	 * @param version the version
	 * @param remainingMs the time
	 * @return true if the version is expected to be complete in time
	 */
	boolean arrivesInTime(long version, long remainingMs) {
		VersionDownload download = this.downloads.get(version);
		return download != null && VersionLoadPolicy.newerArrivesInTime(remainingMs, verifiedChunkCount(version),
				download.chunkCount(), download.ageMs(this.clock.monotonicMs()), this.usualFetchMs);
	}

	int verifiedChunkCount() {
		return this.downloads.isEmpty() ? 0 : verifiedChunkCount(this.downloads.lastKey());
	}

	private int verifiedChunkCount(long version) {
		for (VersionProgress progress : this.weightNode.progress()) {
			if (progress.getVersion().equals(Long.toString(version))) {
				return progress.getChunksVerified();
			}
		}
		return 0;
	}

	private void fetchDigests(long version) {
		if (this.digestRequestInProgress || this.clock.monotonicMs() < this.nextDigestRequestMs) {
			return;
		}
		this.digestRequestInProgress = true;
		AgentBriefing briefing = this.view.briefing();
		this.engine.fetchDigests(briefing.getOrigin(), this.view.model(), version, DIGESTS_TIMEOUT_MS)
			.onComplete((result) -> {
				this.digestRequestInProgress = false;
				if (result.succeeded() && result.result().size() == briefing.getChunks()) {
					// Without this, an incomplete older version waits for up to a
					// second after an outage of the origin.
					this.weightNode.originAnswered();
					this.digestRequestFailures = 0;
					startDownload(version, result.result());
					return;
				}
				this.digestRequestFailures++;
				this.nextDigestRequestMs = this.clock.monotonicMs()
						+ Math.min(MAX_BACKOFF_MS, BACKOFF_STEP_MS * this.digestRequestFailures);
				this.log.write(LogEvent.PIECE_FAILED, "piece", "digests", "version", version, "source", "origin",
						"connections", this.engine.openConnections(briefing.getOrigin()), "limit",
						briefing.getOriginConnections(), "reason", result.failed() ? result.cause().getMessage()
								: "the origin returned an unexpected number of digests");
			});
	}

	private void startDownload(long version, List<String> chunkDigests) {
		if (version != this.view.targetVersion()) {
			return;
		}
		abandonIncompleteVersions(version);
		VersionDownload download = VersionDownload.create(version, this.view.model(), chunkDigests,
				this.view.briefing().getChunkBytes(), this.clock.monotonicMs());
		this.downloads.put(version, download);
		this.log.write(LogEvent.WEIGHTS, "phase", "collecting", "version", version, "pieces", chunkDigests.size(),
				"beside", this.downloads.headMap(version).keySet(), "other-agents",
				this.view.briefing().getAgentsCount(), "origin-connections",
				this.engine.openConnections(this.view.briefing().getOrigin()));
		// Of what an agent has staged itself it holds the verified chunks in memory.
		boolean holdsOther = newestVerifiedVersion() > 0;
		if (holdsOther) {
			download.markFetchedCompletely();
		}
		Future<Void> read = holdsOther ? Future.succeededFuture() : readStagedChunks(version, chunkDigests);
		read.onComplete((result) -> {
			download.markStagedChunksRead(this.clock.monotonicMs());
			if (this.downloads.containsKey(version)) {
				startFetchIfAllowed(download);
			}
		});
	}

	private void abandonIncompleteVersions(long newer) {
		long nowMs = this.clock.monotonicMs();
		long remainingMs = this.remainingServiceMs.getAsLong();
		long newerRemainingMs = this.view.loadDeadlineInMs(newer, nowMs);
		this.downloads.values().removeIf((older) -> {
			boolean abandon = older.verifiedWeights().isEmpty()
					&& !VersionFetchPolicy.shouldFinish(verifiedChunkCount(older.version()), older.chunkCount(),
							older.ageMs(nowMs), remainingMs, newerRemainingMs);
			if (abandon) {
				this.weightNode.dropVersion(this.view.model(), Long.toString(older.version()));
				this.log.write(LogEvent.WEIGHTS, "phase", "abandoned", "version", older.version(), "held",
						verifiedChunkCount(older.version()), "pieces", older.chunkCount(), "fetched-for-ms",
						older.ageMs(nowMs), "remaining-ms", remainingMs, "newer-remaining-ms", newerRemainingMs);
			}
			return abandon;
		});
	}

	// Runs before the fetch starts, so that chunks already on this host are not fetched
	// over the network.
	private Future<Void> readStagedChunks(long version, List<String> chunkDigests) {
		Address backend = this.settings.getBackend();
		return this.engine.listStagedChunks(backend, this.view.model()).compose((staged) -> {
			List<Future<Void>> reads = new ArrayList<>();
			for (int index : staged) {
				if (index < chunkDigests.size()) {
					reads.add(this.engine.fetchStagedChunk(backend, this.view.model(), index)
						.onSuccess((bytes) -> this.weightNode.addLocalChunk(chunkDigests.get(index), bytes.getBytes()))
						.onFailure((failure) -> logStagedReadFailure(version, index, failure))
						.mapEmpty());
				}
			}
			return Future.join(reads).<Void>mapEmpty();
		}).onFailure((failure) -> logStagedReadFailure(version, -1, failure));
	}

	private void logStagedReadFailure(long version, int index, Throwable failure) {
		this.log.write(LogEvent.PIECE_FAILED, "piece", index, "version", version, "source", "staged", "reason",
				failure.getMessage());
	}

	private HostIdentity hostIdentity() {
		return HostIdentity.newBuilder()
			.setHost(Addresses.format(this.ownAddress))
			.setRegion(this.settings.getRegion())
			.setZone(this.settings.getZone())
			.setRole(Role.AGENT)
			.setAddress(this.ownAddress)
			.build();
	}

	private List<HostState> peerStates() {
		return this.view.briefing().getAgentsList().stream().map(this::toHostState).toList();
	}

	private HostState toHostState(AgentPlace agent) {
		return HostState.newBuilder()
			.setHost(HostIdentity.newBuilder()
				.setHost(Addresses.format(agent.getAddress()))
				.setRegion(agent.getRegion())
				.setZone(agent.getZone())
				.setRole(Role.AGENT)
				.setAddress(agent.getAddress()))
			.setLiveness(Liveness.LIVE)
			.addBackends(BackendState.newBuilder()
				.addProgress(VersionProgress.newBuilder()
					.setModel(this.view.model())
					.setVersion(Long.toString(agent.getWholeVersion()))
					.setPhase(VersionPhase.VERIFIED)))
			.build();
	}

}
