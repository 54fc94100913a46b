package org.wigeontally.spread;

import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;
import java.util.function.Supplier;

import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.http.HttpServerResponse;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

import org.wigeontally.errors.ErrorType;
import org.wigeontally.schema.generated.Address;
import org.wigeontally.schema.generated.BackendState;
import org.wigeontally.schema.generated.HostState;
import org.wigeontally.schema.generated.Liveness;
import org.wigeontally.schema.generated.Manifest;
import org.wigeontally.schema.generated.Model;
import org.wigeontally.schema.generated.Role;
import org.wigeontally.schema.generated.VersionPhase;
import org.wigeontally.schema.generated.VersionProgress;
import org.wigeontally.weights.ChunkScheduler;
import org.wigeontally.weights.ChunkStore;
import org.wigeontally.weights.Digests;
import org.wigeontally.weights.Fetch;
import org.wigeontally.weights.FetchAssignment;
import org.wigeontally.weights.HostLocation;

/**
 * The local copy of one version: fetches its manifest and its chunks, follows the chunk
 * maps of peers and publishes its own chunk map to peers. Used on the control context,
 * except for the accessors of volatile fields, which any thread may call.
 */
final class VersionReplica {

	private static final Logger LOGGER = LoggerFactory.getLogger(VersionReplica.class);

	private static final long FOLLOW_RETRY_DELAY_MS = 250;

	private static final long FOLLOW_INTERVAL_MS = 120;

	private static final long HOSTS_REFRESH_INTERVAL_MS = 300;

	private final NodeResources resources;

	private final Model model;

	private final Supplier<List<HostState>> peers;

	/** Called with the digest of a stored chunk, or with "" for a received manifest. */
	private final Consumer<String> onChunksChanged;

	private final ChunkMapPublisher mapPublisher;

	private final ManifestFetcher manifestFetcher;

	private final Promise<byte[]> manifestBytes = Promise.promise();

	private final Map<String, Address> addresses = new HashMap<>();

	private final Map<String, ChunkMapFollower> followers = new HashMap<>();

	private final Map<String, Long> nextFollowMs = new HashMap<>();

	/** Index of the first chunk of each digest. */
	private final Map<String, Integer> chunkIndexes = new HashMap<>();

	private Map<String, HostLocation> locations = Map.of();

	private FetchAssignment assignment;

	private boolean heldInRegion;

	private ChunkScheduler scheduler;

	private boolean closed;

	private long nextRefreshMs = Long.MIN_VALUE;

	private long nextFollowUpdateMs = Long.MIN_VALUE;

	private volatile Manifest manifest;

	private volatile int heldCount;

	private VersionReplica(NodeResources resources, Model model, Supplier<List<HostState>> peers,
			Consumer<String> onChunksChanged) {
		this.resources = resources;
		this.model = model;
		this.peers = peers;
		this.onChunksChanged = onChunksChanged;
		this.mapPublisher = new ChunkMapPublisher(resources.vertx());
		this.manifestFetcher = new ManifestFetcher(resources, model.getManifest(), this.addresses::get,
				() -> this.assignment, this::handleManifest);
	}

	static VersionReplica start(NodeResources resources, Model model, Supplier<List<HostState>> peers,
			Consumer<String> onChunksChanged) {
		VersionReplica replica = new VersionReplica(resources, model, peers, onChunksChanged);
		replica.refreshHosts();
		replica.manifestFetcher.start();
		return replica;
	}

	private void handleManifest(Manifest received, byte[] bytes) {
		long nowMs = nowMs();
		this.scheduler = ChunkScheduler.create(received.getChunksCount(), this.resources.location(),
				this.resources.random(), nowMs);
		this.scheduler.updateHosts(this.locations, this.assignment, nowMs);
		this.scheduler.setHeldInRegion(this.heldInRegion);
		for (int chunk = 0; chunk < received.getChunksCount(); chunk++) {
			String digest = Digests.toHex(received.getChunks(chunk).getDigest().toByteArray());
			this.chunkIndexes.putIfAbsent(digest, chunk);
		}
		this.manifest = received;
		this.manifestBytes.tryComplete(bytes);
		this.onChunksChanged.accept("");
		for (String digest : this.chunkIndexes.keySet()) {
			if (this.resources.store().holds(digest)) {
				recordStored(digest);
			}
		}
		startFetches();
	}

	void tick() {
		refreshHosts();
		if (this.scheduler != null && !this.scheduler.isComplete()) {
			if (nowMs() >= this.nextFollowUpdateMs) {
				this.nextFollowUpdateMs = nowMs() + FOLLOW_INTERVAL_MS;
				updateFollowers();
			}
			startFetches();
		}
	}

	private void refreshHosts() {
		if (nowMs() < this.nextRefreshMs) {
			return;
		}
		this.nextRefreshMs = nowMs() + HOSTS_REFRESH_INTERVAL_MS;
		Map<String, HostLocation> live = new LinkedHashMap<>();
		this.heldInRegion = false;
		live.put(this.resources.location().host(), this.resources.location());
		for (HostState state : this.peers.get()) {
			if (state.getHost().getRole() == Role.AGENT && canServeChunks(state.getLiveness())) {
				live.put(state.getHost().getHost(), HostLocation.of(state.getHost()));
				this.addresses.put(state.getHost().getHost(), state.getHost().getAddress());
				boolean sameRegion = state.getHost().getRegion().equals(this.resources.location().region());
				this.heldInRegion = this.heldInRegion || sameRegion && holdsVersion(state);
			}
		}
		if (this.scheduler != null) {
			this.scheduler.setHeldInRegion(this.heldInRegion);
		}
		if (live.equals(this.locations)) {
			return;
		}
		this.locations = live;
		this.assignment = FetchAssignment.of(this.model.getManifest(), live.values(),
				this.resources.settings().originRegion(), this.resources.settings().seedsAcrossRegions());
		if (this.scheduler != null) {
			this.scheduler.updateHosts(live, this.assignment, nowMs());
		}
	}

	private boolean holdsVersion(HostState state) {
		for (BackendState backend : state.getBackendsList()) {
			for (VersionProgress progress : backend.getProgressList()) {
				if (progress.getModel().equals(this.model.getName())
						&& progress.getVersion().equals(this.model.getVersion())
						&& progress.getPhase() == VersionPhase.VERIFIED) {
					return true;
				}
			}
		}
		return false;
	}

	private static boolean canServeChunks(Liveness liveness) {
		return liveness == Liveness.LIVE || liveness == Liveness.LEAVING;
	}

	private void updateFollowers() {
		Set<String> wanted = this.scheduler.peersToFollow(nowMs());
		this.followers.entrySet().removeIf((entry) -> {
			if (wanted.contains(entry.getKey())) {
				return false;
			}
			entry.getValue().close();
			return true;
		});
		for (String host : wanted) {
			Address address = this.addresses.get(host);
			if (!this.followers.containsKey(host) && address != null
					&& nowMs() >= this.nextFollowMs.getOrDefault(host, Long.MIN_VALUE)) {
				this.followers.put(host, ChunkMapFollower.start(this.resources, address, this.model.getManifest(),
						(chunks) -> handleMapUpdate(host, chunks), () -> handleMapDisconnect(host)));
			}
		}
	}

	private void handleMapUpdate(String host, List<Integer> chunks) {
		this.scheduler.addPeerChunks(host, chunks, nowMs());
		startFetches();
	}

	private void handleMapDisconnect(String host) {
		this.followers.remove(host);
		this.nextFollowMs.put(host, nowMs() + FOLLOW_RETRY_DELAY_MS / 2
				+ (long) (FOLLOW_RETRY_DELAY_MS * this.resources.random().nextDouble()));
		this.scheduler.clearPeerChunks(host, nowMs());
	}

	private void startFetches() {
		if (this.closed) {
			return;
		}
		for (Fetch fetch : this.scheduler.nextFetches(nowMs())) {
			startFetch(fetch);
		}
	}

	private void startFetch(Fetch fetch) {
		String digest = Digests.toHex(this.manifest.getChunks(fetch.chunk()).getDigest().toByteArray());
		int size = this.manifest.getChunks(fetch.chunk()).getSize();
		Address address = this.addresses.get(fetch.source());
		Future<byte[]> bytes;
		if (fetch.fromOrigin()) {
			bytes = this.resources.origin().fetchChunk(digest, size);
		}
		else {
			bytes = this.resources.fetcher().fetch(address, "/weights/chunks/" + digest, size);
		}
		bytes.compose((received) -> verifyAndStore(digest, received))
			.onComplete((done) -> this.resources.controlContext().runOnContext((now) -> {
				if (done.succeeded()) {
					handleFetched(fetch, digest, size, done.result());
				}
				else {
					handleFetchFailure(fetch, FetchFailedException.failureOf(done.cause()));
				}
			}));
	}

	private Future<ChunkStore.Outcome> verifyAndStore(String digest, byte[] bytes) {
		return this.resources.vertx().executeBlocking(() -> this.resources.store().put(digest, bytes), false);
	}

	private void handleFetched(Fetch fetch, String digest, int size, ChunkStore.Outcome outcome) {
		if (outcome == ChunkStore.Outcome.CORRUPT) {
			String source = fetch.fromOrigin() ? "the origin" : fetch.source();
			LOGGER.warn("weights: {}", ErrorType.CORRUPT_CHUNK.message(digest, source));
			this.resources.counters().recordCorruptChunk();
			this.resources.counters().recordWastedBytes(size);
			handleFetchFailure(fetch, Fetch.Failure.CORRUPT);
			return;
		}
		if (outcome == ChunkStore.Outcome.FULL) {
			LOGGER.warn("weights: no memory left for chunks of {} {}", this.model.getName(), this.model.getVersion());
			this.resources.counters().recordWastedBytes(size);
			handleFetchFailure(fetch, Fetch.Failure.UNREACHABLE);
			return;
		}
		if (!this.closed) {
			this.scheduler.fetchSucceeded(fetch, nowMs());
			this.onChunksChanged.accept(digest);
			startFetches();
		}
	}

	private void handleFetchFailure(Fetch fetch, Fetch.Failure failure) {
		if (!this.closed) {
			this.scheduler.fetchFailed(fetch, failure, nowMs());
			startFetches();
		}
	}

	// Marks all chunks of this digest as held, as a version may contain a chunk
	// repeatedly.
	void recordStored(String digest) {
		Integer chunk = this.chunkIndexes.get(digest);
		if (chunk == null || this.scheduler == null) {
			return;
		}
		for (int index = chunk; index < this.manifest.getChunksCount(); index++) {
			if (digest.equals(Digests.toHex(this.manifest.getChunks(index).getDigest().toByteArray()))) {
				this.scheduler.markHeld(index, nowMs());
				this.mapPublisher.addVerifiedChunk(index);
			}
		}
		this.heldCount = this.scheduler.heldCount();
		if (this.scheduler.isComplete()) {
			LOGGER.info("weights: {} {} is complete", this.model.getName(), this.model.getVersion());
			this.followers.values().forEach(ChunkMapFollower::close);
			this.followers.clear();
		}
	}

	void subscribe(HttpServerResponse response) {
		if (this.closed) {
			response.end();
			return;
		}
		this.mapPublisher.addSubscriber(response);
	}

	Future<byte[]> manifestBytes() {
		return this.manifestBytes.future();
	}

	Manifest manifest() {
		return this.manifest;
	}

	Model model() {
		return this.model;
	}

	boolean isComplete() {
		Manifest currentManifest = this.manifest;
		return currentManifest != null && this.heldCount == currentManifest.getChunksCount();
	}

	VersionProgress progress() {
		Manifest currentManifest = this.manifest;
		return VersionProgress.newBuilder()
			.setModel(this.model.getName())
			.setVersion(this.model.getVersion())
			.setChunksVerified(this.heldCount)
			.setChunks((currentManifest != null) ? currentManifest.getChunksCount() : 0)
			.setPhase(isComplete() ? VersionPhase.VERIFIED : VersionPhase.FETCHING)
			.build();
	}

	void originAnswered() {
		if (this.scheduler != null) {
			this.scheduler.originAnswered();
			startFetches();
		}
	}

	void close() {
		this.closed = true;
		this.manifestFetcher.close();
		this.followers.values().forEach(ChunkMapFollower::close);
		this.followers.clear();
		this.mapPublisher.close();
	}

	private long nowMs() {
		return this.resources.clock().monotonicMs();
	}

}
