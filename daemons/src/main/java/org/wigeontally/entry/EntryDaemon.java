package org.wigeontally.entry;

import io.prometheus.metrics.model.registry.PrometheusRegistry;
import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.ext.web.Router;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

import org.wigeontally.administration.Administration;
import org.wigeontally.administration.AdministrationApi;
import org.wigeontally.configuration.KeyRing;
import org.wigeontally.control.ControlNode;
import org.wigeontally.control.ControlSettings;
import org.wigeontally.control.HostListFollower;
import org.wigeontally.errors.InputException;
import org.wigeontally.http.DaemonServer;
import org.wigeontally.metrics.ControlMetrics;
import org.wigeontally.metrics.EntryMetrics;
import org.wigeontally.metrics.MetricsApi;
import org.wigeontally.metrics.RequestMetrics;
import org.wigeontally.misc.Clock;
import org.wigeontally.misc.Closer;
import org.wigeontally.platform.HttpPlatformLog;
import org.wigeontally.schema.generated.EntrySettings;
import org.wigeontally.schema.generated.HarmfulGrpcService;
import org.wigeontally.settings.Addresses;

/**
 * The process on an entry host. It starts the control node first, then the HTTP
 * interfaces for callers and operators. On shutdown it announces that it is leaving,
 * refuses new requests while it still lists the addresses of other entries, waits for the
 * requests in flight, and closes its parts in reverse order.
 */
public final class EntryDaemon implements AutoCloseable {

	private static final Logger logger = LoggerFactory.getLogger(EntryDaemon.class);

	private static final long DRAIN_NOTICE_MS = 6000;

	private final Vertx vertx;

	private final EntrySettings settings;

	private final Closer closer;

	private final ControlNode control;

	private final Dispatcher dispatcher;

	private final AtMostOnceRequests atMostOnce;

	private final Clock clock;

	private DaemonServer server;

	private EntryDaemon(Vertx vertx, EntrySettings settings, Closer closer, ControlNode control, Dispatcher dispatcher,
			AtMostOnceRequests atMostOnce, Clock clock) {
		this.vertx = vertx;
		this.settings = settings;
		this.closer = closer;
		this.control = control;
		this.dispatcher = dispatcher;
		this.atMostOnce = atMostOnce;
		this.clock = clock;
	}

	/**
	 * Starts an entry.
	 * @param vertx the Vert.x instance to run on
	 * @param settings validated settings
	 * @param clock source of time
	 * @return the running entry; succeeds once the server socket is open
	 * @throws InputException if an operator's key cannot be read
	 */
	public static Future<EntryDaemon> start(Vertx vertx, EntrySettings settings, Clock clock) throws InputException {
		Closer closer = Closer.create();
		KeyRing keys = KeyRing.of(settings.getOperatorKeysList());
		HttpPlatformLog log = closer.add(HttpPlatformLog.create(vertx, settings.getPlatform().getLog()));
		AgentClient agents = closer.add(AgentClient.create(vertx));
		return ControlNode.start(vertx, ControlSettings.of(settings), log, keys, clock).compose((control) -> {
			closer.add(control::close);
			if (settings.getPlatform().hasHostList()) {
				closer.add(HostListFollower.start(vertx, settings.getPlatform().getHostList(), control));
			}
			PrometheusRegistry registry = new PrometheusRegistry();
			RequestPolicy policy = new RequestPolicy(control.view(), EntryMetrics.create(registry), clock);
			control.addService(HarmfulGrpcService.of(policy.harmfulService()));
			Dispatcher dispatcher = new Dispatcher(control.view(), agents, policy, clock);
			ClaimInquiryClient inquiries = closer.add(ClaimInquiryClient.create(vertx, control.view()));
			return AtMostOnceRequests.start(vertx, log, control.view(), agents, inquiries, clock)
				.compose((atMostOnce) -> {
					EntryDaemon daemon = new EntryDaemon(vertx, settings, closer, control, dispatcher, atMostOnce,
							clock);
					return daemon.listen(registry).map(daemon);
				});
		});
	}

	private Future<DaemonServer> listen(PrometheusRegistry registry) {
		Router router = Router.router(this.vertx);
		MetricsApi.mount(router, registry, this.control.view()::isServing);
		ControlMetrics.register(registry, this.control.view());
		CallerApi callers = new CallerApi(this.control.view(), new RequestReader(this.clock), this.dispatcher,
				this.atMostOnce, RequestMetrics.register(registry));
		this.atMostOnce.mount(router);
		callers.mount(router, this.settings.getBodyLimitBytes());
		Administration administration = new ControlAdministration(this.control);
		router.route("/v1/admin/*").subRouter(AdministrationApi.createRouter(this.vertx, administration));
		return DaemonServer.start(this.vertx, this.settings.getListen(), this.control.handler(), router)
			.onSuccess((server) -> {
				this.server = this.closer.add(server);
				logger.info("entry: {} is listening on {}", this.settings.getHost(),
						Addresses.format(this.settings.getListen()));
			});
	}

	/**
	 * Returns the control node of this process.
	 * @return the control node
	 */
	public ControlNode control() {
		return this.control;
	}

	/**
	 * Shuts down gracefully: announces that this entry is leaving, refuses new requests,
	 * closes the port and the idle connections, waits for the others, and closes.
	 * @return the number of requests that had not ended when the drain timeout expired
	 */
	public Future<Integer> drain() {
		logger.info("entry: {} is draining", this.settings.getHost());
		this.control.leave();
		return this.server.drain(DRAIN_NOTICE_MS, this.settings.getDrainMs(), this.clock)
			.map((drained) -> this.dispatcher.inFlight() + this.atMostOnce.inFlight())
			.onSuccess((aborted) -> {
				logger.info("entry: {} drained, {} requests aborted", this.settings.getHost(), aborted);
				close();
			});
	}

	@Override
	public void close() {
		try {
			this.closer.close();
		}
		catch (Exception ex) {
			logger.warn("entry: shutdown failed: {}", ex.getMessage());
		}
	}

}
