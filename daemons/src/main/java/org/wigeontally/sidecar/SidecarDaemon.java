package org.wigeontally.sidecar;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

import io.vertx.core.AsyncResult;
import io.vertx.core.Context;
import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.Vertx;

import org.wigeontally.eventlog.EventLog;
import org.wigeontally.eventlog.LogEvent;
import org.wigeontally.fleet.ReportSchedule;
import org.wigeontally.misc.Clock;
import org.wigeontally.misc.Closer;
import org.wigeontally.platform.wire.EngineClient;
import org.wigeontally.platform.wire.EngineState;
import org.wigeontally.platform.wire.EntryRecordCodec;
import org.wigeontally.platform.wire.StoreClient;
import org.wigeontally.platform.wire.StoreTopic;
import org.wigeontally.rpc.PeerServerOptions;
import org.wigeontally.schema.generated.Address;
import org.wigeontally.schema.generated.AgentPlace;
import org.wigeontally.schema.generated.EngineStatus;
import org.wigeontally.schema.generated.HostSettings;
import org.wigeontally.settings.Addresses;
import org.wigeontally.weights.EngineLoadState;
import org.wigeontally.weights.LoadLedger;
import org.wigeontally.weights.LoadOrder;
import org.wigeontally.weights.VerifiedWeights;
import org.wigeontally.weights.VersionLoadPolicy;

/**
 * Sidecar process of one engine. All its code runs on one event loop.
 */
public final class SidecarDaemon implements AutoCloseable {

	/**
	 * Minimum interval between two reads of the engine's state. The engine returns
	 * current figures to calls from its own host. It is not read more often than its
	 * state is reported.
	 */
	private static final long ENGINE_POLL_INTERVAL_MS = 50;

	/** Interval between two status reports while the engine's load does not change. */
	private static final long REPORT_INTERVAL_MS = 300;

	/**
	 * Interval between two requests for briefings. It limits how late this process learns
	 * of a new version if the notices are lost.
	 */
	private static final long BRIEFING_INTERVAL_MS = 400;

	/**
	 * Interval between two requests for briefings after the start, until the other agents
	 * are known.
	 */
	private static final long DISCOVERY_BRIEFING_INTERVAL_MS = 100;

	/** Interval between two reads of the store while no entry responds. */
	private static final long ENTRY_DISCOVERY_INTERVAL_MS = 1_500;

	private static final long DRAIN_NOTICE_MS = 300;

	/**
	 * Time without an answer after which the engine is considered gone for good, as when
	 * its replica was removed. A crashed engine is back sooner.
	 */
	private static final long ENGINE_GONE_MS = 8_000;

	/**
	 * Time in which the engine of an added host starts. Its agent starts together with
	 * it.
	 */
	private static final long ENGINE_START_MS = 3_000;

	/** Failed polls in a row after which the engine is considered unreachable. */
	private static final int UNREACHABLE_AFTER_FAILED_POLLS = 3;

	private final Vertx vertx;

	private final Context context;

	private final Clock clock;

	private final EventLog log;

	private final HostSettings settings;

	// Address at which other agents and the entries reach this process.
	private final Address ownAddress;

	private final Closer closer = Closer.create();

	private final FleetView view = new FleetView();

	private final EntryReporter entryReporter;

	private final EngineClient client;

	private final WeightCollector collector;

	private final EngineLoader loader;

	private final StoreClient store;

	private final long incarnation;

	private final long startedAtMs;

	private EngineState engineState;

	private int failedPolls;

	private long lastEngineAnswerMs = Long.MIN_VALUE / 2;

	private boolean pollInProgress;

	private boolean loadAnnounced;

	private long pollCount;

	// Number of the last poll that was answered.
	private long answeredPoll;

	// Number of the first poll that shows what the last load came to.
	private long firstPollAfterLoad;

	private boolean draining;

	private long sequence;

	private long lastPollMs = Long.MIN_VALUE / 2;

	private long lastReportMs = Long.MIN_VALUE / 2;

	private long lastRemoteReportMs = Long.MIN_VALUE / 2;

	private long lastBriefingRequestMs = Long.MIN_VALUE / 2;

	private int lastReportedLoad = -1;

	private long lastReportedLoaded;

	private long lastReportedWhole;

	private long wholeReportedAtMs;

	private SidecarDaemon(Vertx vertx, Context context, HostSettings settings, Clock clock, EventLog log) {
		this.vertx = vertx;
		this.context = context;
		this.settings = settings;
		this.clock = clock;
		this.log = log;
		this.incarnation = clock.wallMs();
		this.startedAtMs = clock.monotonicMs();
		this.client = EngineClient.create(vertx);
		this.ownAddress = Address.newBuilder().setIp(settings.getIp()).setPort(settings.getInternalPort()).build();
		this.entryReporter = new EntryReporter(vertx, clock, log, this.view, this.ownAddress, settings.getRegion());
		this.collector = new WeightCollector(vertx, clock, log, settings, this.ownAddress, this.view, this.client,
				this::remainingServiceMs);
		this.loader = new EngineLoader(vertx, clock, log, this.client, settings.getBackend());
		this.store = StoreClient.create(vertx, settings.getStore());
	}

	/**
	 * Starts the process.
	 * @param vertx the Vert.x instance to run on
	 * @param settings validated settings
	 * @param clock source of time
	 * @param log receives the events
	 * @return the running process; completes when it is listening
	 */
	public static Future<SidecarDaemon> start(Vertx vertx, HostSettings settings, Clock clock, EventLog log) {
		Promise<SidecarDaemon> started = Promise.promise();
		Context context = vertx.getOrCreateContext();
		// Within compose whatever is thrown fails the start instead of leaving it open.
		context.runOnContext((v) -> Future.succeededFuture()
			.compose((begin) -> new SidecarDaemon(vertx, context, settings, clock, log).listen())
			.onComplete(started));
		return started.future();
	}

	private Future<SidecarDaemon> listen() {
		this.settings.getSeedsList().forEach(this.entryReporter::addEntry);
		this.entryReporter.onBriefing(() -> runStep("reconcile", this::reconcile));
		return this.vertx.createHttpServer(PeerServerOptions.create())
			.requestHandler(this.collector::handle)
			.listen(this.settings.getInternalPort(), this.settings.getIp())
			.compose((listening) -> this.entryReporter.listen(this::createStatus).map(listening))
			.onSuccess((listening) -> {
				this.closer.add(listening::close);
				this.closer.add(this.entryReporter::close);
				this.log.write(LogEvent.START, "role", "agent", "zone", this.settings.getZone(), "engine",
						Addresses.format(this.settings.getBackend()));
				this.vertx.setPeriodic(0, ENGINE_POLL_INTERVAL_MS, (id) -> runPeriodicSteps());
				this.vertx.setPeriodic(ENTRY_DISCOVERY_INTERVAL_MS, (id) -> discoverEntries());
			})
			.map(this);
	}

	private void discoverEntries() {
		if (this.entryReporter.hasRespondingEntry()) {
			return;
		}
		this.store.readSnapshot(StoreTopic.ENTRIES)
			.onSuccess((page) -> page.records()
				.forEach((entry) -> EntryRecordCodec.decode(entry.value()).ifPresent(this.entryReporter::addEntry)))
			.onFailure((failure) -> this.log.write(LogEvent.STORE_LOST, "topic", StoreTopic.ENTRIES, "reason",
					failure.getMessage()));
	}

	// An engine that is silent for a moment holds up neither the reports, without which
	// entries take the host for lost, nor the fetch of weights.
	private void runPeriodicSteps() {
		pollEngine();
		boolean late = this.pollInProgress && this.clock.monotonicMs() - this.lastPollMs >= REPORT_INTERVAL_MS;
		if (late && this.engineState != null) {
			runStep("report", () -> reportStatus(false));
			runStep("collect", this::collectWeights);
		}
	}

	private void pollEngine() {
		long nowMs = this.clock.monotonicMs();
		long intervalMs = Math.min(REPORT_INTERVAL_MS, minReportIntervalMs());
		if (this.pollInProgress || nowMs - this.lastPollMs < intervalMs) {
			return;
		}
		this.pollInProgress = true;
		this.pollCount++;
		this.lastPollMs = nowMs;
		// Within compose whatever is thrown fails the future, so that the poll ends.
		Future.succeededFuture()
			.compose((start) -> this.client.fetchState(this.settings.getBackend()))
			.onComplete((result) -> {
				this.pollInProgress = false;
				runStep("state", () -> handlePollResult(result));
				runStep("report", () -> reportStatus(false));
				runStep("reconcile", this::reconcile);
			});
	}

	private void handlePollResult(AsyncResult<EngineState> result) {
		if (result.succeeded()) {
			handleEngineState(result.result());
		}
		else {
			handlePollFailure(result.cause());
		}
	}

	// A step that throws must not keep the others from running: without reports the
	// entries send the engine no requests.
	private void runStep(String step, Runnable action) {
		try {
			action.run();
		}
		catch (RuntimeException | StackOverflowError ex) {
			this.log.write(LogEvent.FAULT, "step", step, "reason", ex);
		}
	}

	private long minReportIntervalMs() {
		return ReportSchedule.nearIntervalMs(this.entryReporter.nearEntryCount());
	}

	private void handleEngineState(EngineState newState) {
		boolean restarted = this.engineState != null && this.engineState.processStartMs() != newState.processStartMs();
		if (this.engineState == null || this.failedPolls >= UNREACHABLE_AFTER_FAILED_POLLS || restarted) {
			this.log.write(LogEvent.ENGINE, "answers", true, "born", newState.processStartMs(), "versions",
					newState.loadedVersions());
		}
		this.failedPolls = 0;
		this.lastEngineAnswerMs = this.clock.monotonicMs();
		this.engineState = newState;
		this.loader.recordState(newState);
		this.view.disprovenLoad().ifPresent(this.loader::recordDisproof);
		this.answeredPoll = this.pollCount;
		LoadLedger ledger = this.loader.ledger();
		this.loadAnnounced = this.loadAnnounced
				&& (isLoadOutcomeUnknown() || ledger.orderInDoubt().isPresent() || ledger.isProvable());
	}

	// An order that got no response may have been accepted, or may still be. Only a state
	// that was asked for after the load ended shows which.
	private boolean isLoadOutcomeUnknown() {
		return this.loader.isRunning() || this.answeredPoll < this.firstPollAfterLoad;
	}

	private void handlePollFailure(Throwable cause) {
		this.failedPolls++;
		if (this.failedPolls == UNREACHABLE_AFTER_FAILED_POLLS) {
			this.log.write(LogEvent.ENGINE, "answers", false, "reason", cause.getMessage());
		}
	}

	/**
	 * Returns the newest version whose chunks this agent has all verified.
	 * @return the version; 0 for none
	 */
	long newestVerifiedVersion() {
		return this.collector.newestVerifiedVersion();
	}

	private boolean isEngineReachable() {
		return this.engineState != null && this.failedPolls < UNREACHABLE_AFTER_FAILED_POLLS;
	}

	private boolean isEngineGone() {
		return !isEngineReachable() && this.clock.monotonicMs() - this.lastEngineAnswerMs >= ENGINE_GONE_MS;
	}

	// After a loss of power the agents of removed engines start too, and would take links
	// from those whose engines wait for weights. In a running fleet others hold the
	// weights, and the time in which the engine of an added host starts can be used.
	private boolean isEngineStarting() {
		return this.engineState == null && this.view.areWeightsHeldAtStart()
				&& this.clock.monotonicMs() - this.startedAtMs < ENGINE_START_MS;
	}

	private long loadedVersion() {
		return (this.engineState == null) ? 0 : this.engineState.loadedVersions().getOrDefault(this.view.model(), 0L);
	}

	private boolean isLoading() {
		return this.loadAnnounced || (this.engineState != null && this.engineState.busy());
	}

	// Weights that are not proven must not serve requests.
	private long servableVersion() {
		return (isLoading() || this.loader.ledger().isProven()) ? loadedVersion() : 0;
	}

	// The others' turns depend on the versions, so a change is reported at once.
	private void reportStatus(boolean forced) {
		long nowMs = this.clock.monotonicMs();
		long wholeVersion = this.collector.newestVerifiedVersion();
		boolean wholeChanged = wholeVersion != this.lastReportedWhole;
		boolean force = forced || wholeChanged || servableVersion() != this.lastReportedLoaded;
		int load = (this.engineState == null) ? 0
				: this.engineState.activeRequests() + this.engineState.queuedRequests();
		long intervalMs = (load == this.lastReportedLoad) ? REPORT_INTERVAL_MS : minReportIntervalMs();
		long remoteIntervalMs = ReportSchedule.remoteIntervalMs(this.entryReporter.remoteEntryCount());
		boolean remoteToo = force || nowMs - this.lastRemoteReportMs >= remoteIntervalMs;
		boolean briefingDue = force || nowMs - this.lastBriefingRequestMs >= briefingIntervalMs(nowMs);
		if (!remoteToo && !briefingDue && nowMs - this.lastReportMs < intervalMs) {
			return;
		}
		this.lastReportMs = nowMs;
		this.lastReportedLoad = load;
		this.lastReportedLoaded = servableVersion();
		this.lastReportedWhole = wholeVersion;
		this.wholeReportedAtMs = wholeChanged ? nowMs : this.wholeReportedAtMs;
		this.sequence++;
		EngineStatus.Builder status = createStatus();
		this.entryReporter.sendStatus(status.build(), remoteToo);
		this.lastRemoteReportMs = remoteToo ? nowMs : this.lastRemoteReportMs;
		if (briefingDue) {
			this.lastBriefingRequestMs = nowMs;
			this.entryReporter.requestBriefings(status);
		}
	}

	private long briefingIntervalMs(long nowMs) {
		boolean discovering = this.view.isKnown() && !this.view.arePeersKnown(nowMs);
		return discovering ? DISCOVERY_BRIEFING_INTERVAL_MS : BRIEFING_INTERVAL_MS;
	}

	private EngineStatus.Builder createStatus() {
		EngineStatus.Builder status = EngineStatus.newBuilder()
			.setAgent(this.ownAddress)
			.setBackend(this.settings.getBackend())
			.setZone(this.settings.getZone())
			.setRegion(this.settings.getRegion())
			.setSequence(this.sequence)
			.setIncarnation(this.incarnation)
			.setLoadedVersion(servableVersion())
			.setWholeVersion(this.collector.newestVerifiedVersion())
			.setPieces(this.collector.verifiedChunkCount())
			.setReachable(isEngineReachable())
			.setEngineGone(isEngineGone())
			.setLeaving(this.draining);
		if (this.engineState != null) {
			EngineStatusFields.add(status.setLoading(isLoading()), this.engineState, this.loader.ledger());
		}
		return status;
	}

	private boolean mayCollectWeights() {
		boolean starting = this.engineState == null && this.failedPolls < UNREACHABLE_AFTER_FAILED_POLLS;
		return this.view.isKnown() && !starting && !this.draining && (!isEngineGone() || isEngineStarting());
	}

	// Chunks are fetched even while the engine is unreachable for a short time.
	private void collectWeights() {
		if (mayCollectWeights()) {
			this.collector.collect(this.view.targetVersion());
			this.collector.setEngineServing(isEngineReachable() && servableVersion() > 0);
		}
	}

	// Takes the next step towards loading the target version.
	private void reconcile() {
		collectWeights();
		if (!mayCollectWeights() || !isEngineReachable()) {
			return;
		}
		long target = this.view.targetVersion();
		this.collector.dropVersionsBefore(loadedVersion());
		boolean silent = this.failedPolls > 0;
		if (isLoadOutcomeUnknown() || silent || proveLoad() || this.engineState.busy() || repeatOrderInDoubt()) {
			return;
		}
		long version = this.collector.newestVerifiedVersion();
		if (version <= loadedVersion()) {
			return;
		}
		Optional<VerifiedWeights> weights = this.collector.verifiedWeights(version);
		long remainingMs = remainingServiceMs();
		if (weights.isEmpty() || !mayLoad(version, target, remainingMs)) {
			return;
		}
		if (remainingMs > 0 && !hasCurrentView()) {
			return;
		}
		load(version, weights.get());
	}

	private void load(long version, VerifiedWeights weights) {
		this.loadAnnounced = true;
		awaitNewerState(this.loader.load(this.view.model(), version, weights, () -> reportStatus(true)));
	}

	private void awaitNewerState(Future<Void> attempt) {
		attempt.onComplete((result) -> this.firstPollAfterLoad = this.pollCount + 1);
	}

	private boolean repeatOrderInDoubt() {
		Optional<LoadOrder> inDoubt = this.loader.ledger().orderInDoubt();
		inDoubt.ifPresent((order) -> load(order.version(), order.weights()));
		return inDoubt.isPresent();
	}

	// While the engine executes an order of another process, its version is not known.
	private boolean proveLoad() {
		if (!this.loader.ledger().isProvable()) {
			return false;
		}
		Optional<LoadOrder> own = this.loader.ledger().unprovenOrder();
		if (own.isEmpty() && this.engineState.busy()) {
			return false;
		}
		long version = own.map(LoadOrder::version).orElse(loadedVersion());
		Optional<VerifiedWeights> weights = own.map(LoadOrder::weights)
			.or(() -> this.collector.verifiedWeights(version));
		weights.ifPresent((verified) -> awaitNewerState(this.loader.prove(this.view.model(), version, verified)));
		return weights.isPresent();
	}

	// Returns the time until all engines with the loaded version may load at once; not
	// positive if the engine serves no requests anyway.
	private long remainingServiceMs() {
		return (servableVersion() > 0) ? this.view.loadDeadlineInMs(loadedVersion() + 1, this.clock.monotonicMs()) : 0;
	}

	// Returns whether the other agents' states are known as they are now, and asks for
	// them if not.
	private boolean hasCurrentView() {
		long nowMs = this.clock.monotonicMs();
		long sinceReportMs = nowMs - this.wholeReportedAtMs;
		if (VersionLoadPolicy.isViewCurrent(sinceReportMs, this.view.ageMs(nowMs))) {
			return true;
		}
		boolean mayAsk = VersionLoadPolicy.isViewCurrent(sinceReportMs, 0);
		boolean asked = VersionLoadPolicy.isViewCurrent(sinceReportMs, nowMs - this.lastBriefingRequestMs);
		if (mayAsk && !asked) {
			reportStatus(true);
		}
		return false;
	}

	// Returns whether the engine may load the version now. A version older than the
	// target is skipped if the target is expected to arrive before the load deadline.
	private boolean mayLoad(long version, long target, long remainingMs) {
		if (version < target && remainingMs > 0 && this.collector.arrivesInTime(target, remainingMs)) {
			return false;
		}
		EngineLoadState own = new EngineLoadState(Addresses.format(this.ownAddress), this.settings.getRegion(), false,
				true);
		List<EngineLoadState> others = new ArrayList<>();
		for (AgentPlace agent : this.view.briefing().getAgentsList()) {
			boolean waiting = agent.getLoadedVersion() < version && agent.getWholeVersion() >= version;
			others.add(new EngineLoadState(Addresses.format(agent.getAddress()), agent.getRegion(), agent.getLoading(),
					waiting));
		}
		return VersionLoadPolicy.mayLoad(own, servableVersion(), others, remainingMs);
	}

	/**
	 * Notifies the entries that this process is about to stop. The engine keeps running.
	 * @return 0, completed when the entries had time to receive the notice
	 */
	public Future<Integer> drain() {
		Promise<Integer> drained = Promise.promise();
		this.context.runOnContext((v) -> {
			this.log.write(LogEvent.STOP, "phase", "draining");
			this.draining = true;
			reportStatus(true);
			this.vertx.setTimer(DRAIN_NOTICE_MS, (id) -> drained.complete(0));
		});
		return drained.future();
	}

	/**
	 * Adds the seeds of changed settings. All other settings keep their values from the
	 * start.
	 * @param changed validated settings
	 */
	public void reload(HostSettings changed) {
		this.context.runOnContext((v) -> {
			changed.getSeedsList().forEach(this.entryReporter::addEntry);
			this.log.write(LogEvent.RELOAD, "changed", !changed.equals(this.settings), "seeds",
					changed.getSeedsCount());
		});
	}

	@Override
	public void close() throws Exception {
		this.closer.close();
	}

}
