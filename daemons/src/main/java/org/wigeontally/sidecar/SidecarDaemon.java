package org.wigeontally.sidecar;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

import io.vertx.core.Context;
import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.Vertx;
import io.vertx.core.http.HttpServerOptions;

import org.wigeontally.eventlog.EventLog;
import org.wigeontally.eventlog.LogEvent;
import org.wigeontally.misc.Clock;
import org.wigeontally.misc.Closer;
import org.wigeontally.platform.wire.EngineClient;
import org.wigeontally.platform.wire.EngineState;
import org.wigeontally.platform.wire.EntryRecord;
import org.wigeontally.platform.wire.StoreClient;
import org.wigeontally.platform.wire.StoreTopic;
import org.wigeontally.schema.generated.Address;
import org.wigeontally.schema.generated.AgentPlace;
import org.wigeontally.schema.generated.EngineStatus;
import org.wigeontally.schema.generated.HostSettings;
import org.wigeontally.settings.Addresses;
import org.wigeontally.weights.VerifiedWeights;
import org.wigeontally.weights.VersionLoadPolicy;

/**
 * The process beside an engine. All of it runs on one event loop.
 */
public final class SidecarDaemon implements AutoCloseable {

	/**
	 * Time between two looks at the engine, which answers its own host with fresh
	 * figures.
	 */
	private static final long LOOK_MS = 90;

	/** Time between two reports while the engine's load does not change. */
	private static final long REPORT_MS = 300;

	/**
	 * Least time between two reports for each entry, so that many entries cost no more
	 * messages.
	 */
	private static final long GAP_PER_ENTRY_MS = 11;

	/**
	 * Time between two calls for briefings; a new version is learnt that much later at
	 * most.
	 */
	private static final long CALL_MS = 400;

	/** Time between two reads of the store while no entry answers. */
	private static final long FIND_ENTRIES_MS = 1_500;

	private static final long LEAVE_MS = 300;

	/** Used before any entry gave a bound. */
	private static final long DEFAULT_BOUND_MS = 8_000;

	/**
	 * Time before the bound at which every engine loads. Entries send it nothing on the
	 * older version from 1.3 s before the bound on, so it loses nobody by then.
	 */
	private static final long LOAD_ALLOWANCE_MS = 1_500;

	/** Looks in a row without an answer after which the engine counts as away. */
	private static final int MISSED_LOOKS = 3;

	private final Vertx vertx;

	private final Context loop;

	private final Clock clock;

	private final EventLog log;

	private final HostSettings settings;

	// Where other agents and the entries reach this process.
	private final Address self;

	private final Closer closer = Closer.create();

	private final FleetView view = new FleetView();

	private final EntryReports reports;

	private final EngineClient client;

	private final WeightCollection collector;

	private final EngineLoader loader;

	private final StoreClient store;

	private final long incarnation;

	private EngineState state;

	private int missedLooks;

	private boolean looking;

	private boolean announced;

	private boolean leaving;

	private long sequence;

	private long reportedAtMs = Long.MIN_VALUE / 2;

	private long calledAtMs = Long.MIN_VALUE / 2;

	private int reportedLoad = -1;

	private SidecarDaemon(Vertx vertx, Context loop, HostSettings settings, Clock clock, EventLog log) {
		this.vertx = vertx;
		this.loop = loop;
		this.settings = settings;
		this.clock = clock;
		this.log = log;
		this.incarnation = clock.wallMs();
		this.client = EngineClient.create(vertx);
		this.self = Address.newBuilder().setIp(settings.getIp()).setPort(settings.getInternalPort()).build();
		this.reports = new EntryReports(vertx, clock, log, this.view, this.self);
		this.collector = new WeightCollection(vertx, clock, log, settings, this.self, this.view, this.client);
		this.loader = new EngineLoader(vertx, log, this.client, settings.getBackend());
		this.store = StoreClient.create(vertx, settings.getStore());
	}

	/**
	 * Starts the process.
	 * @param vertx the Vert.x instance to run on
	 * @param settings checked settings
	 * @param clock source of time
	 * @param log where events are written
	 * @return the running process, once it listens
	 */
	public static Future<SidecarDaemon> start(Vertx vertx, HostSettings settings, Clock clock, EventLog log) {
		Promise<SidecarDaemon> started = Promise.promise();
		Context loop = vertx.getOrCreateContext();
		loop.runOnContext((v) -> {
			SidecarDaemon daemon = new SidecarDaemon(vertx, loop, settings, clock, log);
			daemon.listen().map(daemon).onComplete(started);
		});
		return started.future();
	}

	private Future<Void> listen() {
		this.settings.getSeedsList().forEach(this.reports::know);
		this.reports.onNamed(this::work);
		return this.vertx.createHttpServer(new HttpServerOptions().setTcpNoDelay(true))
			.requestHandler(this.collector::handle)
			.listen(this.settings.getInternalPort(), this.settings.getIp())
			.compose((listening) -> this.reports.listen(this::status).map(listening))
			.onSuccess((listening) -> {
				this.closer.add(listening::close);
				this.closer.add(this.reports::close);
				this.log.write(LogEvent.START, "role", "agent", "zone", this.settings.getZone(), "engine",
						Addresses.format(this.settings.getBackend()));
				this.vertx.setPeriodic(0, LOOK_MS, (id) -> look());
				this.vertx.setPeriodic(FIND_ENTRIES_MS, (id) -> findEntries());
			})
			.mapEmpty();
	}

	private void findEntries() {
		if (this.reports.hearsAny()) {
			return;
		}
		this.store.newest(StoreTopic.ENTRIES)
			.onSuccess((page) -> page.records()
				.forEach((entry) -> EntryRecord.decode(entry.value()).ifPresent(this.reports::know)))
			.onFailure((failure) -> this.log.write(LogEvent.STORE_LOST, "topic", StoreTopic.ENTRIES, "reason",
					failure.getMessage()));
	}

	private void look() {
		if (this.looking) {
			return;
		}
		this.looking = true;
		this.client.state(this.settings.getBackend()).onComplete((result) -> {
			this.looking = false;
			if (result.succeeded()) {
				seen(result.result());
			}
			else {
				missed(result.cause());
			}
			report(false);
			work();
		});
	}

	private void seen(EngineState seen) {
		boolean restarted = this.state != null && this.state.bornMs() != seen.bornMs();
		if (this.state == null || this.missedLooks >= MISSED_LOOKS || restarted) {
			this.log.write(LogEvent.ENGINE, "answers", true, "born", seen.bornMs(), "versions", seen.loadedVersions());
		}
		this.missedLooks = 0;
		this.state = seen;
	}

	private void missed(Throwable cause) {
		this.missedLooks++;
		if (this.missedLooks == MISSED_LOOKS) {
			this.log.write(LogEvent.ENGINE, "answers", false, "reason", cause.getMessage());
		}
	}

	/**
	 * Returns the newest version of which this agent holds every piece.
	 * @return the version; 0 for none
	 */
	long wholeVersion() {
		return this.collector.wholeVersion();
	}

	private boolean reachable() {
		return this.state != null && this.missedLooks < MISSED_LOOKS;
	}

	private long loadedVersion() {
		return (this.state == null) ? 0 : this.state.loadedVersions().getOrDefault(this.view.model(), 0L);
	}

	private void report(boolean now) {
		long nowMs = this.clock.monotonicMs();
		int load = (this.state == null) ? 0 : this.state.active() + this.state.queued();
		long gapMs = (load == this.reportedLoad) ? REPORT_MS : this.reports.count() * GAP_PER_ENTRY_MS;
		if (!now && nowMs - this.reportedAtMs < gapMs) {
			return;
		}
		this.reportedAtMs = nowMs;
		this.reportedLoad = load;
		this.sequence++;
		EngineStatus.Builder status = status();
		this.reports.tell(status.build());
		if (now || nowMs - this.calledAtMs >= CALL_MS) {
			this.calledAtMs = nowMs;
			this.reports.call(status);
		}
	}

	private EngineStatus.Builder status() {
		EngineStatus.Builder status = EngineStatus.newBuilder()
			.setAgent(this.self)
			.setBackend(this.settings.getBackend())
			.setZone(this.settings.getZone())
			.setRegion(this.settings.getRegion())
			.setSequence(this.sequence)
			.setIncarnation(this.incarnation)
			.setLoadedVersion(loadedVersion())
			.setWholeVersion(this.collector.wholeVersion())
			.setPieces(this.collector.held())
			.setReachable(reachable())
			.setLeaving(this.leaving);
		if (this.state != null) {
			status.setEngineBorn(this.state.bornMs())
				.setActive(this.state.active())
				.setQueued(this.state.queued())
				.setPace(this.state.pace())
				.setLoading(this.announced || this.state.busy());
		}
		return status;
	}

	// Takes the next step towards the version that the engine should hold.
	private void work() {
		boolean starting = this.state == null && this.missedLooks < MISSED_LOOKS;
		if (!this.view.isKnown() || starting || this.leaving) {
			return;
		}
		long target = this.view.targetVersion();
		// Pieces are collected also while the engine is still starting.
		this.collector.collect(target);
		this.collector.engineServes(reachable() && loadedVersion() > 0);
		if (!reachable()) {
			return;
		}
		if (loadedVersion() >= target || this.state.busy()) {
			this.announced = this.announced && this.loader.isRunning();
		}
		this.collector.loaded(loadedVersion());
		long version = this.collector.wholeVersion();
		if (version <= loadedVersion() || this.state.busy() || this.loader.isRunning()) {
			return;
		}
		Optional<VerifiedWeights> weights = this.collector.weights(version);
		if (weights.isEmpty() || !mayLoad(version, target)) {
			return;
		}
		this.announced = true;
		this.loader.load(this.view.model(), version, weights.get(), () -> report(true)).onComplete((result) -> {
			if (result.failed() || !result.result()) {
				this.announced = false;
			}
		});
	}

	// An older version is loaded unless the newest will be here before its bound.
	private boolean mayLoad(long version, long target) {
		List<String> ready = new ArrayList<>();
		int engines = 1;
		for (AgentPlace agent : this.view.briefing().getAgentsList()) {
			engines++;
			if (agent.getLoadedVersion() < version && agent.getWholeVersion() >= version) {
				ready.add(Addresses.format(agent.getAddress()));
			}
		}
		long boundMs = this.view.briefing().getVersionBoundMs();
		long pressMs = ((boundMs > 0) ? boundMs : DEFAULT_BOUND_MS) - LOAD_ALLOWANCE_MS;
		long leftMs = pressMs - this.view.sinceNamedMs(version, this.clock.monotonicMs());
		boolean pressing = leftMs <= 0;
		if (version < target && loadedVersion() > 0 && !pressing && this.collector.comesInTime(target, leftMs)) {
			return false;
		}
		return VersionLoadPolicy.mayLoad(Addresses.format(this.self), loadedVersion(), ready, engines, pressing);
	}

	/**
	 * Leaves: tells the entries that this process ends. The engine goes on.
	 * @return success once they were told
	 */
	public Future<Integer> drain() {
		Promise<Integer> drained = Promise.promise();
		this.loop.runOnContext((v) -> {
			this.log.write(LogEvent.STOP, "phase", "draining");
			this.leaving = true;
			report(true);
			this.vertx.setTimer(LEAVE_MS, (id) -> drained.complete(0));
		});
		return drained.future();
	}

	/**
	 * Takes changed settings over. Addresses stay as they were at the start.
	 * @param changed checked settings
	 */
	public void reload(HostSettings changed) {
		this.loop.runOnContext((v) -> {
			changed.getSeedsList().forEach(this.reports::know);
			this.log.write(LogEvent.RELOAD, "changed", !changed.equals(this.settings), "seeds",
					changed.getSeedsCount());
		});
	}

	@Override
	public void close() throws Exception {
		this.closer.close();
	}

}
