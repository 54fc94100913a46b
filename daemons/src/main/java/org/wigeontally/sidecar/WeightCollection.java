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
import org.wigeontally.spread.WeightNode;
import org.wigeontally.spread.WeightSettings;
import org.wigeontally.spread.Wire;
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
final class WeightCollection {

	/** Part of the host's link that weights may take; the rest is for streams. */
	private static final double LINK_PART = 0.8;

	/**
	 * Part that they may take while the engine holds no weights and so serves nobody; the
	 * rest is for reports and for what goes with the bytes.
	 */
	private static final double IDLE_LINK_PART = 0.95;

	private static final int KBIT_PER_MBIT = 1_000;

	private static final int MEMORY_MB = 48;

	private static final long DIGESTS_TIMEOUT_MS = 1_500;

	private static final long FIRST_PAUSE_MS = 100;

	private static final long LONGEST_PAUSE_MS = 600;

	private final Clock clock;

	private final EventLog log;

	private final HostSettings settings;

	private final Address self;

	private final FleetView view;

	private final EngineClient engine;

	private final Vertx vertx;

	// Made once the region of the origin is known, since that decides who fetches from
	// it.
	private WeightNode node;

	private final TreeMap<Long, CollectedVersion> versions = new TreeMap<>();

	private boolean digestsOpen;

	private int digestsFailures;

	private long digestsNextMs = Long.MIN_VALUE;

	WeightCollection(Vertx vertx, Clock clock, EventLog log, HostSettings settings, Address self, FleetView view,
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
		WeightSettings weights = new WeightSettings(self(), this.view.briefing().getOriginRegion(), MEMORY_MB,
				kbps(LINK_PART), Map.of(), Wire.DIRECT, true);
		this.node = WeightNode.start(this.vertx, weights, this::peers,
				new PlatformOrigin(this.engine, this.view, this.log, this.versions), this.clock,
				this.settings.getHost().hashCode());
	}

	private int kbps(double part) {
		return (int) (this.settings.getLinkMbps() * KBIT_PER_MBIT * part);
	}

	/**
	 * Takes note of whether the engine serves requests, whose streams share the link.
	 * @param serving true if it holds weights
	 */
	void engineServes(boolean serving) {
		if (this.node != null) {
			this.node.linkRate(kbps(serving ? LINK_PART : IDLE_LINK_PART));
		}
	}

	/**
	 * Answers another agent.
	 * @param request a request for pieces
	 */
	void handle(HttpServerRequest request) {
		if (this.node == null) {
			request.response().setStatusCode(404).end();
			return;
		}
		this.node.router().handle(request);
	}

	/**
	 * Goes on collecting.
	 * @param wanted the version to collect
	 */
	void collect(long wanted) {
		if (this.node == null) {
			startNode();
		}
		if (!this.versions.containsKey(wanted)) {
			fetchDigests(wanted);
		}
		for (CollectedVersion collected : this.versions.values()) {
			if (collected.weights().isEmpty()) {
				lookForWhole(collected);
			}
			beginInTurn(collected);
		}
	}

	private void beginInTurn(CollectedVersion collected) {
		boolean olderOnTheWay = this.versions.headMap(collected.version())
			.values()
			.stream()
			.anyMatch((older) -> older.weights().isEmpty());
		if (collected.begins(olderOnTheWay, this.clock.monotonicMs())) {
			this.node.wantBeside(collected.model());
		}
	}

	private void lookForWhole(CollectedVersion collected) {
		this.node.verified(this.view.model(), Long.toString(collected.version())).ifPresent((whole) -> {
			collected.whole(whole);
			this.log.write(LogEvent.WEIGHTS, "phase", "whole", "version", collected.version(), "after-ms",
					collected.ageMs(this.clock.monotonicMs()), "from-origin", collected.fromOrigin(), "pieces",
					collected.pieces());
		});
	}

	/**
	 * Returns a version whose pieces are all held and verified.
	 * @param wanted the version
	 * @return the weights; empty if pieces are missing
	 */
	Optional<VerifiedWeights> weights(long wanted) {
		CollectedVersion collected = this.versions.get(wanted);
		return (collected != null) ? collected.weights() : Optional.empty();
	}

	/**
	 * Drops older versions, once the engine holds this one.
	 * @param loaded the version that the engine holds
	 */
	void loaded(long loaded) {
		if (this.node == null) {
			return;
		}
		if (this.versions.headMap(loaded).isEmpty() || !this.versions.containsKey(loaded)) {
			return;
		}
		this.versions.headMap(loaded).clear();
		this.node.bearsLoad(this.view.model(), Long.toString(loaded));
	}

	/**
	 * Returns the newest version of which every piece is held.
	 * @return the version; 0 for none
	 */
	long wholeVersion() {
		for (long version : this.versions.descendingKeySet()) {
			if (weights(version).isPresent()) {
				return version;
			}
		}
		return 0;
	}

	/**
	 * Tells whether a version will be whole within a time.
	 * @param wanted the version
	 * @param leftMs the time
	 * @return true if it will, as far as its pieces have come so far
	 */
	boolean comesInTime(long wanted, long leftMs) {
		CollectedVersion collected = this.versions.get(wanted);
		return collected != null && VersionLoadPolicy.newerArrivesInTime(leftMs, held(wanted), collected.pieces(),
				collected.ageMs(this.clock.monotonicMs()));
	}

	int held() {
		return this.versions.isEmpty() ? 0 : held(this.versions.lastKey());
	}

	private int held(long version) {
		for (VersionProgress progress : this.node.progress()) {
			if (progress.getVersion().equals(Long.toString(version))) {
				return progress.getChunksVerified();
			}
		}
		return 0;
	}

	private void fetchDigests(long wanted) {
		if (this.digestsOpen || this.clock.monotonicMs() < this.digestsNextMs) {
			return;
		}
		this.digestsOpen = true;
		AgentBriefing briefing = this.view.briefing();
		this.engine.digests(briefing.getOrigin(), this.view.model(), wanted, DIGESTS_TIMEOUT_MS)
			.onComplete((result) -> {
				this.digestsOpen = false;
				if (result.succeeded() && result.result().size() == briefing.getChunks()) {
					this.digestsFailures = 0;
					begin(wanted, result.result());
					return;
				}
				this.digestsFailures++;
				this.digestsNextMs = this.clock.monotonicMs()
						+ Math.min(LONGEST_PAUSE_MS, FIRST_PAUSE_MS * this.digestsFailures);
				this.log.write(LogEvent.PIECE_FAILED, "piece", "digests", "version", wanted, "source", "origin",
						"reason", result.failed() ? result.cause().getMessage() : "wrong number of digests");
			});
	}

	private void begin(long wanted, List<String> digests) {
		if (wanted != this.view.targetVersion()) {
			return;
		}
		dropFarBehind();
		CollectedVersion next = CollectedVersion.of(wanted, this.view.model(), digests,
				this.view.briefing().getChunkBytes(), this.clock.monotonicMs());
		this.versions.put(wanted, next);
		this.log.write(LogEvent.WEIGHTS, "phase", "collecting", "version", wanted, "pieces", digests.size(), "beside",
				this.versions.headMap(wanted).keySet());
		readStaged(wanted, digests).onComplete((read) -> {
			next.stagedRead(this.clock.monotonicMs());
			if (this.versions.containsKey(wanted)) {
				beginInTurn(next);
			}
		});
	}

	// A version that is nearly here is finished: it binds earlier than the newer one,
	// which the origin may not be able to give for some time.
	private void dropFarBehind() {
		this.versions.values().removeIf((older) -> {
			boolean far = !VersionFetchPolicy.shouldFinish(held(older.version()), older.pieces());
			if (far) {
				this.node.abandon(this.view.model(), Long.toString(older.version()));
				this.log.write(LogEvent.WEIGHTS, "phase", "abandoned", "version", older.version(), "held",
						held(older.version()));
			}
			return far;
		});
	}

	// Done before anything is fetched, so that nothing comes over the link that is here.
	private Future<Void> readStaged(long version, List<String> digests) {
		Address backend = this.settings.getBackend();
		return this.engine.stagedPieces(backend, this.view.model()).compose((staged) -> {
			List<Future<Void>> reads = new ArrayList<>();
			for (int index : staged) {
				if (index < digests.size()) {
					reads.add(this.engine.staged(backend, this.view.model(), index)
						.onSuccess((bytes) -> this.node.found(digests.get(index), bytes.getBytes()))
						.onFailure((failure) -> stagedFailed(version, index, failure))
						.mapEmpty());
				}
			}
			return Future.join(reads).<Void>mapEmpty();
		}).onFailure((failure) -> stagedFailed(version, -1, failure));
	}

	private void stagedFailed(long version, int index, Throwable failure) {
		this.log.write(LogEvent.PIECE_FAILED, "piece", index, "version", version, "source", "staged", "reason",
				failure.getMessage());
	}

	private HostIdentity self() {
		return HostIdentity.newBuilder()
			.setHost(Addresses.format(this.self))
			.setRegion(this.settings.getRegion())
			.setZone(this.settings.getZone())
			.setRole(Role.AGENT)
			.setAddress(this.self)
			.build();
	}

	private List<HostState> peers() {
		return this.view.briefing().getAgentsList().stream().map(this::state).toList();
	}

	private HostState state(AgentPlace agent) {
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
