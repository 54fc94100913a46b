package org.wigeontally.gateway;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.function.Supplier;

import io.vertx.core.Context;
import io.vertx.core.Future;
import io.vertx.core.Handler;
import io.vertx.core.Promise;
import io.vertx.core.Vertx;
import io.vertx.core.datagram.DatagramSocket;
import io.vertx.core.http.HttpServer;
import io.vertx.core.http.HttpServerOptions;
import io.vertx.core.http.HttpServerRequest;
import io.vertx.core.net.NetClientOptions;
import io.vertx.grpc.server.GrpcServer;
import io.vertx.grpc.server.GrpcServerOptions;

import org.wigeontally.eventlog.EventLog;
import org.wigeontally.eventlog.LogEvent;
import org.wigeontally.fleet.CompactedTopic;
import org.wigeontally.fleet.DrainSchedule;
import org.wigeontally.fleet.EntryTable;
import org.wigeontally.fleet.LapseGrace;
import org.wigeontally.harmful.PromptPart;
import org.wigeontally.http.ServerDrain;
import org.wigeontally.metrics.MetricsApi;
import org.wigeontally.misc.Clock;
import org.wigeontally.misc.Closer;
import org.wigeontally.platform.wire.EntryRecordCodec;
import org.wigeontally.platform.wire.StoreClient;
import org.wigeontally.platform.wire.StoreTopic;
import org.wigeontally.rpc.PeerServerOptions;
import org.wigeontally.schema.generated.Address;
import org.wigeontally.schema.generated.AgentBriefing;
import org.wigeontally.schema.generated.ContentPart;
import org.wigeontally.schema.generated.ContentRequest;
import org.wigeontally.schema.generated.EngineStatus;
import org.wigeontally.schema.generated.EntryNews;
import org.wigeontally.schema.generated.FleetGrpcService;
import org.wigeontally.schema.generated.FleetService;
import org.wigeontally.schema.generated.HostSettings;
import org.wigeontally.schema.generated.PermitReply;
import org.wigeontally.schema.generated.PermitRequest;

/**
 * The process on an entry host of the platform. All of it runs on one event loop, so that
 * no decision is based on a partly applied change.
 */
public final class GatewayDaemon implements AutoCloseable {

	private static final int CONNECT_TIMEOUT_MS = 700;

	private static final int ACCEPT_BACKLOG = 1_024;

	/**
	 * Larger than the header limit of any configuration, so that the configured limit
	 * applies.
	 */
	private static final int HEADER_LIMIT_BYTES = 64 * 1024;

	/**
	 * Pause between two reads of registrations. Each backend server renews its
	 * registration about every second.
	 */
	private static final long BACKEND_READ_PAUSE_MS = 700;

	private static final long OPERATOR_READ_PAUSE_MS = 30;

	/**
	 * Interval at which the reader of each region reads the addresses of entries. Long,
	 * because entries rarely start and call the others when they do.
	 */
	private static final long ENTRY_READ_INTERVAL_MS = 5_000;

	/**
	 * Number of those intervals after which every entry reads the addresses, to find the
	 * others again after it was cut off for long.
	 */
	private static final int ENTRY_READ_INTERVALS = 6;

	/**
	 * Time within which the operator writes records again that a restored store lost.
	 */
	private static final long OPERATOR_RESTORE_GRACE_MS = 4_000;

	private static final long HOUSEKEEPING_INTERVAL_MS = 250;

	private final Vertx vertx;

	private final Context eventLoop;

	private final HostSettings settings;

	private final EventLog log;

	private final Closer closer = Closer.create();

	private final GatewayContext context;

	private final EntryTable entries;

	private final EntryExchange exchange;

	private final AgentBriefings briefings;

	private final DatagramSocket datagrams;

	private final PermitServer permitServer;

	private final CallerConnections callerConnections;

	private final CallerRequestHandler callerHandler;

	private final StoreClient store;

	private final HarmfulPartStore harmfulPartStore;

	private final CompactedTopic entryRecords = CompactedTopic.create();

	private HttpServer front;

	private boolean ready;

	private int entryReadIntervals;

	private final StoreFollower operatorFollower;

	private final StoreFollower backendFollower;

	private GatewayDaemon(Vertx vertx, Context loop, HostSettings settings, Clock clock, EventLog log) {
		this.vertx = vertx;
		this.entries = EntryTable.create(settings.getRegion());
		this.eventLoop = loop;
		this.settings = settings;
		this.log = log;
		NetClientOptions clientOptions = new NetClientOptions().setConnectTimeout(CONNECT_TIMEOUT_MS)
			.setTcpNoDelay(true);
		FleetState fleet = new FleetState(settings, vertx.createNetClient(clientOptions), clock, log);
		this.context = new GatewayContext(vertx, clock, settings, log, fleet, new GatewayMetrics());
		QueuedPlacement placement = new QueuedPlacement(this.context,
				new RequestPlacer(this.context, new CandidateSelector(fleet, settings)));
		this.permitServer = new PermitServer(this.context, this.entries);
		this.callerConnections = new CallerConnections(this.context);
		this.callerHandler = new CallerRequestHandler(this.context, this.callerConnections, placement,
				new PermitClient(this.context, this.permitServer));
		this.datagrams = vertx.createDatagramSocket();
		this.exchange = new EntryExchange(this.context, this.entries,
				new EntryHeartbeats(this.context, this.entries, this.datagrams), clock.wallMs());
		this.briefings = new AgentBriefings(this.context, this.entries);
		this.store = StoreClient.create(vertx, settings.getStore());
		this.harmfulPartStore = new HarmfulPartStore(this.context, clock, this.store);
		this.context.harmfulParts().onHarmfulPartsFound(this::keepHarmfulParts);
		this.operatorFollower = new StoreFollower(vertx, clock, log, this.store, StoreTopic.OPERATOR,
				fleet.operatorRecords(), OPERATOR_READ_PAUSE_MS, this.exchange.operatorSupply(),
				new StoreFollower.RestoreBehaviour(OPERATOR_RESTORE_GRACE_MS, new OperatorRestorePolicy(log),
						this::writeOwnRecords),
				this::operatorRecordsChanged, () -> {
				});
		this.backendFollower = new StoreFollower(vertx, clock, log, this.store, StoreTopic.BACKENDS,
				fleet.backendRecords(), BACKEND_READ_PAUSE_MS, this.exchange.backendSupply(),
				new StoreFollower.RestoreBehaviour(LapseGrace.LENGTH_MS, new BackendRestorePolicy(log),
						() -> this.exchange.storeNews().storeRestored()),
				this::backendRecordsChanged, () -> this.exchange.storeNews().storeReturned());
		this.store.onUnreadableEra(
				(header) -> log.write(LogEvent.STORE_ERA_UNREADABLE, "header", (header != null) ? header : "missing"));
		this.exchange.setFollowers(this.operatorFollower, this.backendFollower);
		this.context.onUrgentNews(this.exchange::exchangeWithAllEntries);
	}

	/**
	 * Starts the process.
	 * @param vertx the Vert.x instance to run on
	 * @param settings validated settings
	 * @param clock source of time
	 * @param log the log of events
	 * @return the process, once it listens on all ports
	 */
	public static Future<GatewayDaemon> start(Vertx vertx, HostSettings settings, Clock clock, EventLog log) {
		Promise<GatewayDaemon> started = Promise.promise();
		Context loop = vertx.getOrCreateContext();
		// Within compose whatever is thrown fails the start instead of leaving it open.
		loop.runOnContext((v) -> Future.succeededFuture()
			.compose((begin) -> new GatewayDaemon(vertx, loop, settings, clock, log).listen())
			.onComplete(started));
		return started.future();
	}

	// Callers come last, so that a process which cannot listen on all ports accepts none.
	private Future<GatewayDaemon> listen() {
		this.settings.getSeedsList().forEach(this.entries::addAddress);
		GrpcServer grpc = GrpcServer.server(this.vertx,
				new GrpcServerOptions().setMaxMessageSize(EntryExchange.MESSAGE_LIMIT_BYTES));
		grpc.addService(FleetGrpcService.of(new FleetServiceHandler()));
		Address metricsAddress = Address.newBuilder()
			.setIp(this.settings.getIp())
			.setPort(this.settings.getMetricsPort())
			.build();
		List<Future<?>> listening = new ArrayList<>();
		EntryHttpHandler httpHandler = new EntryHttpHandler(this.context, this.entries, this.exchange);
		HttpServerOptions publicOptions = new HttpServerOptions().setTcpNoDelay(true);
		listening.add(serve(this.settings.getReady(), publicOptions, httpHandler::handleReady));
		listening.add(serve(this.settings.getDirectory(), publicOptions, httpHandler::handleDirectory));
		listening.add(serve(this.settings.getControl(), PeerServerOptions.create(), grpc::handle));
		HarmfulPartHttpHandler partHandler = new HarmfulPartHttpHandler(this.context.harmfulParts(),
				this.harmfulPartStore);
		BackendLimitHttpHandler limitHandler = new BackendLimitHttpHandler(this.context, this.permitServer);
		listening.add(serve(metricsAddress, publicOptions, (request) -> {
			if (!partHandler.handle(request) && !limitHandler.handle(request)) {
				MetricsApi.writeMetrics(this.context.metrics().registry(), request.response());
			}
		}));
		this.datagrams.handler(new EntryDatagrams(this.briefings, this.exchange, this.log)::handle);
		this.closer.add(this.datagrams::close);
		listening.add(this.datagrams.listen(this.settings.getInternalPort(), this.settings.getIp()));
		return Future.all(listening).compose((all) -> listenForCallers()).onSuccess((server) -> startTasks()).map(this);
	}

	private Future<HttpServer> listenForCallers() {
		HttpServerOptions options = new HttpServerOptions().setMaxHeaderSize(HEADER_LIMIT_BYTES)
			.setMaxInitialLineLength(HEADER_LIMIT_BYTES)
			.setHandle100ContinueAutomatically(true)
			.setHttp2ClearTextEnabled(false)
			.setPerFrameWebSocketCompressionSupported(false)
			.setPerMessageWebSocketCompressionSupported(false)
			.setAcceptBacklog(ACCEPT_BACKLOG)
			.setTcpNoDelay(true);
		this.front = this.vertx.createHttpServer(options);
		this.closer.add(this.front::close);
		return this.front.connectionHandler((connection) -> this.callerConnections.add(connection, options))
			.requestHandler(this.callerHandler::handle)
			.listen(this.settings.getFront().getPort(), this.settings.getFront().getIp());
	}

	private Future<HttpServer> serve(Address address, HttpServerOptions options, Handler<HttpServerRequest> handler) {
		HttpServer server = this.vertx.createHttpServer(options.setAcceptBacklog(ACCEPT_BACKLOG));
		this.closer.add(server::close);
		return server.requestHandler(handler).listen(address.getPort(), address.getIp());
	}

	private void startTasks() {
		this.log.write(LogEvent.START, "role", "entry", "zone", this.settings.getZone(), "front",
				this.settings.getFront().getPort());
		this.operatorFollower.start();
		this.backendFollower.start();
		registerSelf();
		this.harmfulPartStore.restore();
		readEntries();
		this.vertx.setPeriodic(0, EntryExchange.INTERVAL_MS, (id) -> this.exchange.contactDueEntries());
		this.vertx.setPeriodic(ENTRY_READ_INTERVAL_MS, (id) -> readEntriesIfDue());
		this.vertx.setPeriodic(HOUSEKEEPING_INTERVAL_MS, (id) -> housekeeping());
	}

	private void registerSelf() {
		this.store
			.write(StoreTopic.ENTRIES, this.settings.getHost(), EntryRecordCodec.encode(this.settings.getControl()))
			.onFailure((failure) -> {
				this.log.write(LogEvent.STORE_LOST, "topic", StoreTopic.ENTRIES, "reason", failure.getMessage());
				this.vertx.setTimer(StoreClient.CALL_TIMEOUT_MS, (id) -> registerSelf());
			});
	}

	// Which entry knows enough to call a part harmful depends on the order of the news.
	// The readers of the store therefore write it too.
	private void keepHarmfulParts(Set<PromptPart> parts, boolean foundAtThisEntry) {
		if (foundAtThisEntry || this.exchange.isStoreReader()) {
			this.harmfulPartStore.write(parts);
		}
	}

	private void writeOwnRecords() {
		registerSelf();
		this.harmfulPartStore.writeAll();
	}

	private void readEntriesIfDue() {
		this.entryReadIntervals++;
		if (this.exchange.isStoreReader() || this.entryReadIntervals % ENTRY_READ_INTERVALS == 0) {
			readEntries();
		}
	}

	private void readEntries() {
		this.store.readSnapshot(StoreTopic.ENTRIES).onSuccess((page) -> {
			this.entryRecords.applySnapshot(page.records(), page.endPosition());
			this.entryRecords.records()
				.stream()
				.filter((topicRecord) -> !topicRecord.removed())
				.forEach((topicRecord) -> EntryRecordCodec.decode(topicRecord.value())
					.ifPresent(this.entries::addAddress));
		})
			.onFailure((failure) -> this.log.write(LogEvent.STORE_LOST, "topic", StoreTopic.ENTRIES, "reason",
					failure.getMessage()));
	}

	private void operatorRecordsChanged(List<String> keys, String source, long sinceMs) {
		this.context.fleet().applyOperatorRecords(keys, source, sinceMs);
		this.context.updateConfigurationLag(this.entries.liveEntries(this.context.nowMs()));
		this.briefings.notifyNewVersion(this.datagrams);
		this.exchange.exchangeWithRegion();
	}

	private void backendRecordsChanged(List<String> keys, String source, long sinceMs) {
		this.context.fleet().applyBackendRecords(keys, source, this.backendFollower.knownBeforeMs());
	}

	// Entries of other regions would learn it from the next regular exchange only, and
	// their directories might name nobody until then.
	private void tellReadiness() {
		boolean wasReady = this.ready;
		this.ready = this.context.isReady();
		if (this.ready && !wasReady) {
			this.exchange.tellReadiness();
		}
	}

	private void housekeeping() {
		tellReadiness();
		FleetState fleet = this.context.fleet();
		fleet.removeLapsedBackends();
		fleet.backends().forEach((backend) -> backend.pool().closeExpired());
		this.callerConnections.closeExpired();
		this.callerConnections.logOverdue();
		List<EntryNews> others = this.entries.liveEntries(this.context.nowMs());
		this.context.updateConfigurationLag(others);
		int knownEntries = others.size() + 1;
		fleet.setEntryCount(knownEntries);
		fleet.setOtherEntries(this.entries.recentEntries(this.context.nowMs()));
		this.context.metrics().setState(fleet.configurationVersion(), this.context.inFlight(), knownEntries);
		this.context.rankReservations().publish();
		this.context.metrics().setLimitedBackends(this.context.limits().countLimited());
		this.context.metrics().setStoreAge(StoreTopic.OPERATOR.name(), this.operatorFollower.ageMs());
		this.context.metrics().setStoreAge(StoreTopic.BACKENDS.name(), this.backendFollower.ageMs());
	}

	/**
	 * Drains the process: deregisters it from the store, notifies the other entries,
	 * serves requests that end in time, closes the port and the connections of callers,
	 * and ends when all are closed or the grace period is over. No request is taken after
	 * that.
	 * @return the number of requests in flight at the end
	 */
	public Future<Integer> drain() {
		Promise<Integer> drained = Promise.promise();
		this.eventLoop.runOnContext((v) -> startDraining(drained));
		return drained.future();
	}

	/**
	 * Returns whether this entry reads the store for its region.
	 * @return true if it does
	 */
	Future<Boolean> isStoreReader() {
		Promise<Boolean> reader = Promise.promise();
		this.eventLoop.runOnContext((v) -> reader.complete(this.exchange.isStoreReader()));
		return reader.future();
	}

	private void startDraining(Promise<Integer> drained) {
		DrainSchedule schedule = DrainSchedule.of(this.context.nowMs(),
				(long) (this.settings.getBounds().getGraceS() * 1000));
		this.context.startDraining(schedule);
		logPhase("draining");
		this.exchange.exchangeWithAllEntries();
		this.store.write(StoreTopic.ENTRIES, this.settings.getHost(), new byte[0])
			.onFailure((failure) -> this.log.write(LogEvent.STORE_LOST, "topic", StoreTopic.ENTRIES, "reason",
					failure.getMessage()));
		ServerDrain.start(this.vertx, this.front, schedule, this.context::nowMs, new DrainListener())
			.onComplete((closed) -> {
				logPhase("ended");
				drained.complete(this.context.inFlight());
			});
	}

	private void logPhase(String phase) {
		this.log.write(LogEvent.STOP, "phase", phase, "in-flight", this.context.inFlight(), "connections",
				this.callerConnections.count(), "busy", this.callerConnections.countBusy());
	}

	/**
	 * Applies changed settings. Only new seeds take effect; the addresses of this process
	 * stay as they were at the start.
	 * @param changed validated settings
	 */
	public void reload(HostSettings changed) {
		this.eventLoop.runOnContext((v) -> {
			changed.getSeedsList().forEach(this.entries::addAddress);
			this.log.write(LogEvent.RELOAD, "changed", !changed.equals(this.settings), "seeds",
					changed.getSeedsCount());
		});
	}

	@Override
	public void close() throws Exception {
		this.closer.close();
	}

	/**
	 * What the drain asks of the connections and requests of callers.
	 */
	private final class DrainListener implements ServerDrain.Listener {

		@Override
		public boolean hasUnsentBytes() {
			return GatewayDaemon.this.callerConnections.hasUnsentBytes();
		}

		@Override
		public boolean isReadingHeads() {
			return GatewayDaemon.this.callerConnections.isReadingHeads();
		}

		@Override
		public void answerDue() {
			GatewayDaemon.this.context.requestsInFlight().forEach(RequestRelay::endForShutdown);
		}

		@Override
		public void closing() {
			logPhase("closing");
		}

	}

	/**
	 * The gRPC service that other entries and agents call.
	 */
	private final class FleetServiceHandler extends FleetService {

		@Override
		public Future<EntryNews> exchange(EntryNews request) {
			return onEventLoop(() -> GatewayDaemon.this.exchange.handleNews(request));
		}

		@Override
		public Future<ContentPart> readContent(ContentRequest request) {
			return onEventLoop(() -> GatewayDaemon.this.exchange.contents().handle(request));
		}

		@Override
		public Future<PermitReply> acquirePermits(PermitRequest request) {
			return onEventLoop(() -> GatewayDaemon.this.permitServer.handle(request));
		}

		@Override
		public Future<AgentBriefing> report(EngineStatus request) {
			return onEventLoop(() -> GatewayDaemon.this.briefings.handleReport(request));
		}

		private <T> Future<T> onEventLoop(Supplier<T> work) {
			Context caller = GatewayDaemon.this.vertx.getOrCreateContext();
			Promise<T> promise = Promise.promise();
			GatewayDaemon.this.eventLoop.runOnContext((v) -> {
				T result = work.get();
				caller.runOnContext((w) -> promise.complete(result));
			});
			return promise.future();
		}

	}

}
