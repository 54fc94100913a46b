package org.wigeontally.sidecar;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;

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
 * Collects the versions that the engine should hold, the newest and one before it if that
 * is nearly here. The digests come from the origin; all agents make the same manifest of
 * them, so that their pieces fit each other. What the engine has staged already is
 * verified and used, so that a restart of this process fetches nothing. Runs on the event
 * loop.
 */
final class WeightCollector {

	/** Part of the host's link that weights may take; the rest is for streams. */
	private static final double LINK_SHARE = 0.8;

	/**
	 * Part that they may take while the engine holds no weights and so serves nobody; the
	 * rest is for reports and for what goes with the bytes.
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

	private final Address self;

	private final FleetView view;

	private final EngineClient engine;

	private final Vertx vertx;

	// Made once the region of the origin is known, since that decides who fetches from
	// it.
	private WeightNode weightNode;

	private final TreeMap<Long, VersionDownload> downloads = new TreeMap<>();

	private boolean digestRequestInProgress;

	private int digestRequestFailures;

	private long nextDigestRequestMs = Long.MIN_VALUE;

	WeightCollector(Vertx vertx, Clock clock, EventLog log, HostSettings settings, Address self, FleetView view,
			EngineClient engine) {
		this.clock = clock;
		this.log = log;
		this.settings = settings;
		this.self = self;
		this.view = view;
		this.engine = engine;
		this.vertx = vertx;
	}

	private void startNode() {
		WeightSettings weightSettings = new WeightSettings(hostIdentity(), this.view.briefing().getOriginRegion(),
				CHUNK_MEMORY_MB, linkShareKbps(LINK_SHARE), Map.of(), UploadTransport.DIRECT, true);
		this.weightNode = WeightNode.start(this.vertx, weightSettings, this::peers,
				new PlatformOriginClient(this.engine, this.view, this.log, this.downloads), this.clock,
				this.settings.getHost().hashCode());
	}

	private int linkShareKbps(double share) {
		return (int) (this.settings.getLinkMbps() * KBIT_PER_MBIT * share);
	}

	/**
	 * Takes note of whether the engine serves requests, whose streams share the link.
	 * @param serving true if it holds weights
	 */
	void setEngineServing(boolean serving) {
		if (this.weightNode != null) {
			this.weightNode.setUploadRateKbps(linkShareKbps(serving ? LINK_SHARE : IDLE_LINK_SHARE));
		}
	}

	/**
	 * Answers another agent.
	 * @param request a request for pieces
	 */
	void handle(HttpServerRequest request) {
		if (this.weightNode == null) {
			request.response().setStatusCode(404).end();
			return;
		}
		this.weightNode.router().handle(request);
	}

	/**
	 * Goes on collecting.
	 * @param version the version to collect
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
			this.log.write(LogEvent.WEIGHTS, "phase", "whole", "version", download.version(), "after-ms",
					download.ageMs(this.clock.monotonicMs()), "from-origin", download.originRequestCount(), "pieces",
					download.chunkCount());
		});
	}

	/**
	 * Returns a version whose pieces are all held and verified.
	 * @param version the version
	 * @return the weights; empty if pieces are missing
	 */
	Optional<VerifiedWeights> verifiedWeights(long version) {
		VersionDownload download = this.downloads.get(version);
		return (download != null) ? download.verifiedWeights() : Optional.empty();
	}

	/**
	 * Drops older versions, once the engine holds this one.
	 * @param loadedVersion the version that the engine holds
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
	 * Returns the newest version of which every piece is held.
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
	 * Tells whether a version will be whole within a time.
	 * @param version the version
	 * @param remainingMs the time
	 * @return true if it will, as far as its pieces have come so far
	 */
	boolean arrivesInTime(long version, long remainingMs) {
		VersionDownload download = this.downloads.get(version);
		return download != null && VersionLoadPolicy.newerArrivesInTime(remainingMs, verifiedChunkCount(version),
				download.chunkCount(), download.ageMs(this.clock.monotonicMs()));
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
					this.digestRequestFailures = 0;
					startDownload(version, result.result());
					return;
				}
				this.digestRequestFailures++;
				this.nextDigestRequestMs = this.clock.monotonicMs()
						+ Math.min(MAX_BACKOFF_MS, BACKOFF_STEP_MS * this.digestRequestFailures);
				this.log.write(LogEvent.PIECE_FAILED, "piece", "digests", "version", version, "source", "origin",
						"reason", result.failed() ? result.cause().getMessage() : "wrong number of digests");
			});
	}

	private void startDownload(long version, List<String> digests) {
		if (version != this.view.targetVersion()) {
			return;
		}
		abandonIncompleteVersions();
		VersionDownload download = VersionDownload.create(version, this.view.model(), digests,
				this.view.briefing().getChunkBytes(), this.clock.monotonicMs());
		this.downloads.put(version, download);
		this.log.write(LogEvent.WEIGHTS, "phase", "collecting", "version", version, "pieces", digests.size(), "beside",
				this.downloads.headMap(version).keySet());
		readStagedChunks(version, digests).onComplete((read) -> {
			download.markStagedChunksRead(this.clock.monotonicMs());
			if (this.downloads.containsKey(version)) {
				startFetchIfAllowed(download);
			}
		});
	}

	// A version that is nearly here is finished: it binds earlier than the newer one,
	// which the origin may not be able to give for some time.
	private void abandonIncompleteVersions() {
		this.downloads.values().removeIf((older) -> {
			boolean abandon = !VersionFetchPolicy.shouldFinish(verifiedChunkCount(older.version()), older.chunkCount());
			if (abandon) {
				this.weightNode.dropVersion(this.view.model(), Long.toString(older.version()));
				this.log.write(LogEvent.WEIGHTS, "phase", "abandoned", "version", older.version(), "held",
						verifiedChunkCount(older.version()));
			}
			return abandon;
		});
	}

	// Done before anything is fetched, so that nothing comes over the link that is here.
	private Future<Void> readStagedChunks(long version, List<String> digests) {
		Address backend = this.settings.getBackend();
		return this.engine.listStagedChunks(backend, this.view.model()).compose((staged) -> {
			List<Future<Void>> reads = new ArrayList<>();
			for (int index : staged) {
				if (index < digests.size()) {
					reads.add(this.engine.fetchStagedChunk(backend, this.view.model(), index)
						.onSuccess((bytes) -> this.weightNode.addLocalChunk(digests.get(index), bytes.getBytes()))
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
			.setHost(Addresses.format(this.self))
			.setRegion(this.settings.getRegion())
			.setZone(this.settings.getZone())
			.setRole(Role.AGENT)
			.setAddress(this.self)
			.build();
	}

	private List<HostState> peers() {
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
