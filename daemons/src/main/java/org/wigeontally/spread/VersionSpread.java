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
 * One version on its way to this host: its manifest, its scheduler, the maps that it
 * follows and the peers that follow its own map. Used on the control context, but for the
 * views that are published through volatile fields.
 */
final class VersionSpread {

	private static final Logger LOGGER = LoggerFactory.getLogger(VersionSpread.class);

	private static final long FOLLOW_RETRY_MS = 250;

	private static final long FOLLOW_INTERVAL_MS = 120;

	private static final long HOSTS_REFRESH_MS = 300;

	private final NodeParts parts;

	private final Model model;

	private final Supplier<List<HostState>> peers;

	private final Consumer<String> changed;

	private final MapSubscribers subscribers;

	private final ManifestFetch manifestFetch;

	private final Promise<byte[]> manifestBytes = Promise.promise();

	private final Map<String, Address> addresses = new HashMap<>();

	private final Map<String, MapFollower> followers = new HashMap<>();

	private final Map<String, Long> followAfterMs = new HashMap<>();

	private final Map<String, Integer> indexes = new HashMap<>();

	private Map<String, HostLocation> places = Map.of();

	private FetchAssignment duty;

	private boolean heldNearby;

	private ChunkScheduler scheduler;

	private boolean closed;

	private long refreshAfterMs = Long.MIN_VALUE;

	private long followAllAfterMs = Long.MIN_VALUE;

	private volatile Manifest manifest;

	private volatile int held;

	private VersionSpread(NodeParts parts, Model model, Supplier<List<HostState>> peers, Consumer<String> changed) {
		this.parts = parts;
		this.model = model;
		this.peers = peers;
		this.changed = changed;
		this.subscribers = new MapSubscribers(parts.vertx());
		this.manifestFetch = new ManifestFetch(parts, model.getManifest(), this.addresses::get, () -> this.duty,
				this::manifestReceived);
	}

	static VersionSpread start(NodeParts parts, Model model, Supplier<List<HostState>> peers,
			Consumer<String> changed) {
		VersionSpread spread = new VersionSpread(parts, model, peers, changed);
		spread.refreshHosts();
		spread.manifestFetch.start();
		return spread;
	}

	private void manifestReceived(Manifest received, byte[] bytes) {
		long nowMs = nowMs();
		this.scheduler = ChunkScheduler.create(received.getChunksCount(), this.parts.place(), this.parts.random(),
				nowMs);
		this.scheduler.updateHosts(this.places, this.duty, nowMs);
		this.scheduler.setHeldInRegion(this.heldNearby);
		for (int chunk = 0; chunk < received.getChunksCount(); chunk++) {
			String digest = Digests.toHex(received.getChunks(chunk).getDigest().toByteArray());
			this.indexes.putIfAbsent(digest, chunk);
		}
		this.manifest = received;
		this.manifestBytes.tryComplete(bytes);
		this.changed.accept("");
		for (String digest : this.indexes.keySet()) {
			if (this.parts.store().holds(digest)) {
				stored(digest);
			}
		}
		pump();
	}

	void tick() {
		refreshHosts();
		if (this.scheduler != null && !this.scheduler.isComplete()) {
			if (nowMs() >= this.followAllAfterMs) {
				this.followAllAfterMs = nowMs() + FOLLOW_INTERVAL_MS;
				follow();
			}
			pump();
		}
	}

	private void refreshHosts() {
		if (nowMs() < this.refreshAfterMs) {
			return;
		}
		this.refreshAfterMs = nowMs() + HOSTS_REFRESH_MS;
		Map<String, HostLocation> live = new LinkedHashMap<>();
		this.heldNearby = false;
		live.put(this.parts.place().host(), this.parts.place());
		for (HostState state : this.peers.get()) {
			if (state.getHost().getRole() == Role.AGENT && serving(state.getLiveness())) {
				live.put(state.getHost().getHost(), HostLocation.of(state.getHost()));
				this.addresses.put(state.getHost().getHost(), state.getHost().getAddress());
				boolean near = state.getHost().getRegion().equals(this.parts.place().region());
				this.heldNearby = this.heldNearby || near && holdsAll(state);
			}
		}
		if (this.scheduler != null) {
			this.scheduler.setHeldInRegion(this.heldNearby);
		}
		if (live.equals(this.places)) {
			return;
		}
		this.places = live;
		this.duty = FetchAssignment.of(this.model.getManifest(), live.values(), this.parts.settings().originRegion(),
				this.parts.settings().sharedEntry());
		if (this.scheduler != null) {
			this.scheduler.updateHosts(live, this.duty, nowMs());
		}
	}

	private boolean holdsAll(HostState state) {
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

	private static boolean serving(Liveness liveness) {
		return liveness == Liveness.LIVE || liveness == Liveness.LEAVING;
	}

	private void follow() {
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
					&& nowMs() >= this.followAfterMs.getOrDefault(host, Long.MIN_VALUE)) {
				this.followers.put(host, MapFollower.start(this.parts, address, this.model.getManifest(),
						(chunks) -> mapAdded(host, chunks), () -> mapBroken(host)));
			}
		}
	}

	private void mapAdded(String host, List<Integer> chunks) {
		this.scheduler.addPeerChunks(host, chunks, nowMs());
		pump();
	}

	private void mapBroken(String host) {
		this.followers.remove(host);
		this.followAfterMs.put(host,
				nowMs() + FOLLOW_RETRY_MS / 2 + (long) (FOLLOW_RETRY_MS * this.parts.random().nextDouble()));
		this.scheduler.clearPeerChunks(host, nowMs());
	}

	private void pump() {
		if (this.closed) {
			return;
		}
		for (Fetch fetch : this.scheduler.nextFetches(nowMs())) {
			run(fetch);
		}
	}

	private void run(Fetch fetch) {
		String digest = Digests.toHex(this.manifest.getChunks(fetch.chunk()).getDigest().toByteArray());
		int size = this.manifest.getChunks(fetch.chunk()).getSize();
		Address address = this.addresses.get(fetch.source());
		Future<byte[]> bytes;
		if (fetch.fromOrigin()) {
			bytes = this.parts.origin().chunk(digest, size);
		}
		else {
			bytes = this.parts.fetcher().fetch(address, "/weights/chunks/" + digest, size);
		}
		bytes.compose((received) -> verify(digest, received))
			.onComplete((done) -> this.parts.control().runOnContext((now) -> {
				if (done.succeeded()) {
					ended(fetch, digest, size, done.result());
				}
				else {
					failed(fetch, FetchFailedException.kind(done.cause()));
				}
			}));
	}

	private Future<ChunkStore.Outcome> verify(String digest, byte[] bytes) {
		return this.parts.vertx().executeBlocking(() -> this.parts.store().put(digest, bytes), false);
	}

	private void ended(Fetch fetch, String digest, int size, ChunkStore.Outcome outcome) {
		if (outcome == ChunkStore.Outcome.CORRUPT) {
			String source = fetch.fromOrigin() ? "the origin" : fetch.source();
			LOGGER.warn("weights: {}", ErrorType.CORRUPT_CHUNK.message(digest, source));
			this.parts.counters().corrupt();
			this.parts.counters().wasted(size);
			failed(fetch, Fetch.Failure.CORRUPT);
			return;
		}
		if (outcome == ChunkStore.Outcome.FULL) {
			LOGGER.warn("weights: no room for {} {}", this.model.getName(), this.model.getVersion());
			this.parts.counters().wasted(size);
			failed(fetch, Fetch.Failure.UNREACHABLE);
			return;
		}
		if (!this.closed) {
			this.scheduler.fetchSucceeded(fetch, nowMs());
			this.changed.accept(digest);
			pump();
		}
	}

	private void failed(Fetch fetch, Fetch.Failure failure) {
		if (!this.closed) {
			this.scheduler.fetchFailed(fetch, failure, nowMs());
			pump();
		}
	}

	// Takes note of a chunk that is in the store now.
	void stored(String digest) {
		Integer chunk = this.indexes.get(digest);
		if (chunk == null || this.scheduler == null) {
			return;
		}
		for (int index = chunk; index < this.manifest.getChunksCount(); index++) {
			if (digest.equals(Digests.toHex(this.manifest.getChunks(index).getDigest().toByteArray()))) {
				this.scheduler.markHeld(index, nowMs());
				this.subscribers.verified(index);
			}
		}
		this.held = this.scheduler.heldCount();
		if (this.scheduler.isComplete()) {
			LOGGER.info("weights: {} {} is whole", this.model.getName(), this.model.getVersion());
			this.followers.values().forEach(MapFollower::close);
			this.followers.clear();
		}
	}

	void subscribe(HttpServerResponse response) {
		if (this.closed) {
			response.end();
			return;
		}
		this.subscribers.add(response);
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

	boolean whole() {
		Manifest known = this.manifest;
		return known != null && this.held == known.getChunksCount();
	}

	VersionProgress progress() {
		Manifest known = this.manifest;
		return VersionProgress.newBuilder()
			.setModel(this.model.getName())
			.setVersion(this.model.getVersion())
			.setChunksVerified(this.held)
			.setChunks((known != null) ? known.getChunksCount() : 0)
			.setPhase(whole() ? VersionPhase.VERIFIED : VersionPhase.FETCHING)
			.build();
	}

	void close() {
		this.closed = true;
		this.manifestFetch.close();
		this.followers.values().forEach(MapFollower::close);
		this.followers.clear();
		this.subscribers.close();
	}

	private long nowMs() {
		return this.parts.clock().monotonicMs();
	}

}
