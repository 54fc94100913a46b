package org.wigeontally.spread;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.function.Supplier;

import io.vertx.core.Context;
import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.ext.web.Router;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

import org.wigeontally.misc.Clock;
import org.wigeontally.schema.generated.HostState;
import org.wigeontally.schema.generated.Manifest;
import org.wigeontally.schema.generated.Model;
import org.wigeontally.schema.generated.VersionProgress;
import org.wigeontally.weights.ChunkStore;
import org.wigeontally.weights.LinkRateLimiter;
import org.wigeontally.weights.Manifests;
import org.wigeontally.weights.VerifiedWeights;

/**
 * Manages the weights of one backend server host: keeps verified chunks in memory,
 * fetches the requested versions, and serves chunks and chunk maps to peers, also while
 * fetching.
 *
 * <p>
 * All state except the chunk store belongs to the control context, which is the Vert.x
 * context that {@link #start} is called on. Uploads run on the event loops of the HTTP
 * server, digests on worker threads. {@link #progress()} and {@link #verifiedWeights}
 * read published views and may be called from any thread.
 *
 * <p>
 * For each model the node keeps the requested version and the last complete one until
 * {@link #markServing} is called for the new version. {@link #fetchVersion} drops an
 * incomplete older version at once, but keeps the chunks that the new version shares.
 */
public final class WeightNode implements AutoCloseable {

	private static final Logger LOGGER = LoggerFactory.getLogger(WeightNode.class);

	private static final long TICK_INTERVAL_MS = 40;

	/** Tick interval while all versions are complete. */
	private static final long IDLE_TICK_INTERVAL_MS = 1_000;

	private final NodeResources resources;

	private final Supplier<List<HostState>> peers;

	private final LinkRateLimiter limiter;

	private final Router router;

	private final Map<String, VersionReplica> replicas = new LinkedHashMap<>();

	private long timer;

	private boolean stopped;

	private volatile List<VersionReplica> publishedReplicas = List.of();

	private WeightNode(NodeResources resources, Supplier<List<HostState>> peers) {
		this.resources = resources;
		this.peers = peers;
		this.limiter = LinkRateLimiter.ofKbps(resources.settings().uploadKbps());
		PacedUpload upload = new PacedUpload(resources.vertx(), resources.clock(), this.limiter,
				resources.settings().transport(), resources.settings().self().getHost());
		this.router = ChunkServer.createRouter(resources, upload, this::findReplica);
		schedule(TICK_INTERVAL_MS);
	}

	private void schedule(long delayMs) {
		if (!this.stopped) {
			this.resources.vertx().cancelTimer(this.timer);
			this.timer = this.resources.vertx().setTimer(delayMs, (id) -> tick());
		}
	}

	/**
	 * Starts a node on the current Vert.x context.
	 * @param vertx the Vert.x instance
	 * @param settings settings of the node
	 * @param peers supplies the current host table
	 * @param origin client of the origin and the store
	 * @param clock source of time
	 * @param seed seed of random choices
	 * @return the node
	 */
	public static WeightNode start(Vertx vertx, WeightSettings settings, Supplier<List<HostState>> peers,
			OriginClient origin, Clock clock, long seed) {
		Context controlContext = vertx.getOrCreateContext();
		ChunkStore store = ChunkStore.create(settings.chunkMemoryMib());
		ByteFetcher fetcher = ByteFetcher.create(vertx, settings.self());
		NodeResources resources = new NodeResources(vertx, controlContext, settings, store, fetcher, origin, clock,
				new Random(seed));
		return new WeightNode(resources, peers);
	}

	/**
	 * Starts fetching a version and drops incomplete other versions of the same model.
	 * @param model name, version and manifest digest
	 */
	public void fetchVersion(Model model) {
		this.resources.controlContext().runOnContext((now) -> {
			if (!this.replicas.containsKey(model.getManifest())) {
				LOGGER.info("weights: fetching {} {}", model.getName(), model.getVersion());
				this.replicas.values().removeIf((replica) -> closeIfSuperseded(replica, model));
				this.replicas.put(model.getManifest(),
						VersionReplica.start(this.resources, model, this.peers, this::handleChunksChanged));
				publishReplicas();
				schedule(TICK_INTERVAL_MS);
			}
		});
	}

	/**
	 * Starts fetching a version without dropping others.
	 * @param model name, version and manifest digest
	 */
	public void fetchAdditionalVersion(Model model) {
		this.resources.controlContext().runOnContext((now) -> {
			if (!this.replicas.containsKey(model.getManifest())) {
				this.replicas.put(model.getManifest(),
						VersionReplica.start(this.resources, model, this.peers, this::handleChunksChanged));
				publishReplicas();
				schedule(TICK_INTERVAL_MS);
			}
		});
	}

	/**
	 * Drops one version.
	 * @param model name of the model
	 * @param version the version
	 */
	public void dropVersion(String model, String version) {
		dropUnless(
				(replica) -> !replica.model().getName().equals(model) || !replica.model().getVersion().equals(version));
	}

	/**
	 * Ends the pauses between fetches from the origin, because it has just answered.
	 */
	public void originAnswered() {
		this.resources.controlContext()
			.runOnContext((v) -> this.replicas.values().forEach(VersionReplica::originAnswered));
	}

	/**
	 * Adds a chunk that is already on this host, such as one that the engine has staged.
	 * @param digest expected hexadecimal digest of the chunk
	 * @param bytes bytes of the chunk; discarded if they do not match the digest
	 */
	public void addLocalChunk(String digest, byte[] bytes) {
		this.resources.controlContext().runOnContext((now) -> {
			if (this.resources.store().put(digest, bytes) == ChunkStore.Outcome.STORED) {
				handleChunksChanged(digest);
			}
		});
	}

	private boolean closeIfSuperseded(VersionReplica replica, Model model) {
		if (!replica.model().getName().equals(model.getName()) || replica.isComplete()) {
			return false;
		}
		LOGGER.info("weights: dropping incomplete {} {}", replica.model().getName(), replica.model().getVersion());
		replica.close();
		return true;
	}

	/**
	 * Records that a version serves requests and drops the other complete versions of the
	 * model.
	 * @param model name of the model
	 * @param version version that serves requests
	 */
	public void markServing(String model, String version) {
		dropUnless((replica) -> !replica.model().getName().equals(model) || !replica.isComplete()
				|| replica.model().getVersion().equals(version));
	}

	/**
	 * Drops all versions of a model.
	 * @param model name of the model
	 */
	public void dropModel(String model) {
		dropUnless((replica) -> !replica.model().getName().equals(model));
	}

	private void dropUnless(java.util.function.Predicate<VersionReplica> shouldKeep) {
		this.resources.controlContext().runOnContext((now) -> {
			boolean dropped = this.replicas.values().removeIf((replica) -> {
				if (!shouldKeep.test(replica)) {
					replica.close();
					return true;
				}
				return false;
			});
			if (dropped) {
				publishReplicas();
			}
		});
	}

	private void publishReplicas() {
		this.publishedReplicas = List.copyOf(this.replicas.values());
		freeUnreferencedChunks();
	}

	/** Frees chunks that no version contains, once all manifests are known. */
	private void freeUnreferencedChunks() {
		Set<String> referenced = new HashSet<>();
		for (VersionReplica replica : this.replicas.values()) {
			Manifest manifest = replica.manifest();
			if (manifest == null) {
				return;
			}
			referenced.addAll(Manifests.chunkDigests(manifest));
		}
		this.resources.store().retain(referenced);
	}

	// The digest is that of a stored chunk, or empty if a manifest was received.
	private void handleChunksChanged(String digest) {
		if (digest.isEmpty()) {
			freeUnreferencedChunks();
			return;
		}
		for (VersionReplica replica : this.replicas.values()) {
			replica.recordStored(digest);
		}
	}

	private void tick() {
		boolean anyIncomplete = true;
		try {
			anyIncomplete = tickReplicas();
		}
		finally {
			schedule(anyIncomplete ? TICK_INTERVAL_MS : IDLE_TICK_INTERVAL_MS);
		}
	}

	private boolean tickReplicas() {
		boolean anyIncomplete = false;
		for (VersionReplica replica : this.replicas.values()) {
			replica.tick();
			anyIncomplete = anyIncomplete || !replica.isComplete();
		}
		return anyIncomplete;
	}

	private VersionReplica findReplica(String manifestDigest) {
		for (VersionReplica replica : this.publishedReplicas) {
			if (replica.model().getManifest().equals(manifestDigest)) {
				return replica;
			}
		}
		return null;
	}

	/**
	 * Returns the fetch progress of each version.
	 * @return progress of complete and incomplete versions
	 */
	public List<VersionProgress> progress() {
		List<VersionProgress> progress = new ArrayList<>();
		for (VersionReplica replica : this.publishedReplicas) {
			progress.add(replica.progress());
		}
		return progress;
	}

	/**
	 * Returns the weights of a version, to be loaded by an engine.
	 * @param model name of the model
	 * @param version the version
	 * @return the weights; empty unless the version is complete and verified
	 */
	public Optional<VerifiedWeights> verifiedWeights(String model, String version) {
		for (VersionReplica replica : this.publishedReplicas) {
			Manifest manifest = replica.manifest();
			if (manifest != null && replica.model().getName().equals(model)
					&& replica.model().getVersion().equals(version)) {
				return VerifiedWeights.of(manifest, this.resources.store());
			}
		}
		return Optional.empty();
	}

	/**
	 * Records bytes of live requests sent by this host, which take precedence over
	 * uploads of weights.
	 * @param bytes number of bytes
	 */
	public void recordLiveTraffic(int bytes) {
		this.limiter.recordLiveTraffic(bytes, this.resources.clock().monotonicMs());
	}

	/**
	 * Sets the rate limit for uploads of weights.
	 * @param kbps rate in kbit/s; 0 for no limit
	 */
	public void setUploadRateKbps(int kbps) {
		this.limiter.setRateKbps(kbps);
	}

	/**
	 * Returns the routes that peers use, to be mounted at the root of the host's server.
	 * @return the router
	 */
	public Router router() {
		return this.router;
	}

	/**
	 * Returns the counters of received data.
	 * @return counters, safe to read from any thread
	 */
	public FetchCounters counters() {
		return this.resources.counters();
	}

	/**
	 * Returns the memory used by chunks.
	 * @return number of bytes
	 */
	public long heldBytes() {
		return this.resources.store().heldBytes();
	}

	/**
	 * Stops fetching and serving.
	 * @return completes when the node is stopped
	 */
	public Future<Void> stop() {
		return Future.future((completion) -> this.resources.controlContext().runOnContext((now) -> {
			this.stopped = true;
			this.resources.vertx().cancelTimer(this.timer);
			this.replicas.values().forEach(VersionReplica::close);
			this.replicas.clear();
			this.publishedReplicas = List.of();
			this.resources.fetcher().close();
			completion.complete();
		}));
	}

	@Override
	public void close() {
		stop();
	}

}
