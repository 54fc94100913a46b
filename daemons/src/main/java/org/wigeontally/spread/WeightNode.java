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
 * The weights of one backend server host: holds verified chunks in memory, fetches the
 * versions that are wanted and serves chunks and maps to peers while it still fetches.
 *
 * <p>
 * All state but the chunk store belongs to the control context, which is the Vert.x
 * context that {@link #start} is called on. Uploads run on the event loops of the HTTP
 * server, digests on worker threads. {@link #progress()} and {@link #verified} read
 * published views and may be called from any thread.
 *
 * <p>
 * Of each model the node keeps the version wanted and the last one that was whole, until
 * {@link #bearsLoad} says that the new one serves. A half-fetched version that is no
 * longer wanted is dropped at once; chunks that the new one shares stay.
 */
public final class WeightNode implements AutoCloseable {

	private static final Logger LOGGER = LoggerFactory.getLogger(WeightNode.class);

	private static final long TICK_MS = 40;

	/** Time between two ticks while nothing is missing. */
	private static final long IDLE_TICK_MS = 1_000;

	private final NodeParts parts;

	private final Supplier<List<HostState>> peers;

	private final LinkRateLimiter budget;

	private final Router router;

	private final Map<String, VersionSpread> spreads = new LinkedHashMap<>();

	private long timer;

	private boolean ended;

	private volatile List<VersionSpread> published = List.of();

	private WeightNode(NodeParts parts, Supplier<List<HostState>> peers) {
		this.parts = parts;
		this.peers = peers;
		this.budget = LinkRateLimiter.ofKbps(parts.settings().kbps());
		PacedUpload upload = new PacedUpload(parts.vertx(), parts.clock(), this.budget, parts.settings().wire(),
				parts.settings().self().getHost());
		this.router = ChunkServer.router(parts, upload, this::spread);
		schedule(TICK_MS);
	}

	private void schedule(long delayMs) {
		if (!this.ended) {
			this.parts.vertx().cancelTimer(this.timer);
			this.timer = this.parts.vertx().setTimer(delayMs, (id) -> tick());
		}
	}

	/**
	 * Starts a node on the current Vert.x context.
	 * @param vertx the Vert.x instance
	 * @param settings settings of the node
	 * @param peers the newest table of hosts
	 * @param origin client of the origin and the store
	 * @param clock source of time
	 * @param seed seed of random choices
	 * @return the node
	 */
	public static WeightNode start(Vertx vertx, WeightSettings settings, Supplier<List<HostState>> peers,
			OriginClient origin, Clock clock, long seed) {
		Context control = vertx.getOrCreateContext();
		ChunkStore store = ChunkStore.create(settings.memoryMb());
		ByteFetcher fetcher = ByteFetcher.create(vertx, settings.self());
		NodeParts parts = new NodeParts(vertx, control, settings, store, fetcher, origin, clock, new Random(seed));
		return new WeightNode(parts, peers);
	}

	/**
	 * Wants a version; replaces another version of the same model that is not whole.
	 * @param model name, version and manifest digest
	 */
	public void want(Model model) {
		this.parts.control().runOnContext((now) -> {
			if (!this.spreads.containsKey(model.getManifest())) {
				LOGGER.info("weights: wants {} {}", model.getName(), model.getVersion());
				this.spreads.values().removeIf((spread) -> superseded(spread, model));
				this.spreads.put(model.getManifest(),
						VersionSpread.start(this.parts, model, this.peers, this::chunksChanged));
				publish();
				schedule(TICK_MS);
			}
		});
	}

	/**
	 * Wants a version beside those that are on their way.
	 * @param model name, version and manifest digest
	 */
	public void wantBeside(Model model) {
		this.parts.control().runOnContext((now) -> {
			if (!this.spreads.containsKey(model.getManifest())) {
				this.spreads.put(model.getManifest(),
						VersionSpread.start(this.parts, model, this.peers, this::chunksChanged));
				publish();
				schedule(TICK_MS);
			}
		});
	}

	/**
	 * Drops one version.
	 * @param model name of the model
	 * @param version the version
	 */
	public void abandon(String model, String version) {
		dropUnless((spread) -> !spread.model().getName().equals(model) || !spread.model().getVersion().equals(version));
	}

	/**
	 * Takes a chunk that was found on this host, such as one that the engine has staged.
	 * @param digest digest that the chunk should have, hexadecimal
	 * @param bytes the bytes; dropped if they do not fit
	 */
	public void found(String digest, byte[] bytes) {
		this.parts.control().runOnContext((now) -> {
			if (this.parts.store().put(digest, bytes) == ChunkStore.Outcome.STORED) {
				chunksChanged(digest);
			}
		});
	}

	private boolean superseded(VersionSpread spread, Model model) {
		if (!spread.model().getName().equals(model.getName()) || spread.whole()) {
			return false;
		}
		LOGGER.info("weights: drops {} {}, not whole", spread.model().getName(), spread.model().getVersion());
		spread.close();
		return true;
	}

	/**
	 * Says that a version serves requests; other versions of the model are dropped.
	 * @param model name of the model
	 * @param version version that serves
	 */
	public void bearsLoad(String model, String version) {
		dropUnless((spread) -> !spread.model().getName().equals(model) || !spread.whole()
				|| spread.model().getVersion().equals(version));
	}

	/**
	 * Drops all versions of a model.
	 * @param model name of the model
	 */
	public void drop(String model) {
		dropUnless((spread) -> !spread.model().getName().equals(model));
	}

	private void dropUnless(java.util.function.Predicate<VersionSpread> kept) {
		this.parts.control().runOnContext((now) -> {
			boolean dropped = this.spreads.values().removeIf((spread) -> {
				if (!kept.test(spread)) {
					spread.close();
					return true;
				}
				return false;
			});
			if (dropped) {
				publish();
			}
		});
	}

	private void publish() {
		this.published = List.copyOf(this.spreads.values());
		retain();
	}

	/** Frees chunks that no version names, once the manifests of all are known. */
	private void retain() {
		Set<String> wanted = new HashSet<>();
		for (VersionSpread spread : this.spreads.values()) {
			Manifest manifest = spread.manifest();
			if (manifest == null) {
				return;
			}
			wanted.addAll(Manifests.chunkDigests(manifest));
		}
		this.parts.store().retain(wanted);
	}

	private void chunksChanged(String digest) {
		if (digest.isEmpty()) {
			retain();
			return;
		}
		for (VersionSpread spread : this.spreads.values()) {
			spread.stored(digest);
		}
	}

	private void tick() {
		boolean missing = false;
		for (VersionSpread spread : this.spreads.values()) {
			spread.tick();
			missing = missing || !spread.whole();
		}
		schedule(missing ? TICK_MS : IDLE_TICK_MS);
	}

	private VersionSpread spread(String manifest) {
		for (VersionSpread spread : this.published) {
			if (spread.model().getManifest().equals(manifest)) {
				return spread;
			}
		}
		return null;
	}

	/**
	 * Returns how far each version is.
	 * @return progress of the versions held or on the way
	 */
	public List<VersionProgress> progress() {
		List<VersionProgress> progress = new ArrayList<>();
		for (VersionSpread spread : this.published) {
			progress.add(spread.progress());
		}
		return progress;
	}

	/**
	 * Returns the bytes of a version for an engine.
	 * @param model name of the model
	 * @param version the version
	 * @return the weights; empty unless the version is whole and verified
	 */
	public Optional<VerifiedWeights> verified(String model, String version) {
		for (VersionSpread spread : this.published) {
			Manifest manifest = spread.manifest();
			if (manifest != null && spread.model().getName().equals(model)
					&& spread.model().getVersion().equals(version)) {
				return VerifiedWeights.of(manifest, this.parts.store());
			}
		}
		return Optional.empty();
	}

	/**
	 * Takes note of bytes of live requests that leave this host, so that weights give way
	 * to them.
	 * @param bytes number of bytes
	 */
	public void liveBytes(int bytes) {
		this.budget.recordLiveTraffic(bytes, this.parts.clock().monotonicMs());
	}

	/**
	 * Changes the part of the link that weights may take.
	 * @param kbps rate in kbit/s; 0 for no limit
	 */
	public void linkRate(int kbps) {
		this.budget.setRateKbps(kbps);
	}

	/**
	 * Returns the routes for peers, to be mounted at the root of the host's server.
	 * @return the router
	 */
	public Router router() {
		return this.router;
	}

	/**
	 * Returns what the node fetched so far.
	 * @return counters, safe to read from any thread
	 */
	public FetchCounters counters() {
		return this.parts.counters();
	}

	/**
	 * Returns the memory in use for chunks.
	 * @return number of bytes
	 */
	public long heldBytes() {
		return this.parts.store().heldBytes();
	}

	/**
	 * Stops fetching and serving.
	 * @return ends when all is closed
	 */
	public Future<Void> stop() {
		return Future.future((stopped) -> this.parts.control().runOnContext((now) -> {
			this.ended = true;
			this.parts.vertx().cancelTimer(this.timer);
			this.spreads.values().forEach(VersionSpread::close);
			this.spreads.clear();
			this.published = List.of();
			this.parts.fetcher().close();
			stopped.complete();
		}));
	}

	@Override
	public void close() {
		stop();
	}

}
