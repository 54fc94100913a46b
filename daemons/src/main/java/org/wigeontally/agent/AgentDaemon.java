package org.wigeontally.agent;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

import io.prometheus.metrics.model.registry.PrometheusRegistry;
import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.ext.web.Router;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

import org.wigeontally.configuration.KeyRing;
import org.wigeontally.control.ControlNode;
import org.wigeontally.control.ControlSettings;
import org.wigeontally.control.HostListFollower;
import org.wigeontally.http.DaemonServer;
import org.wigeontally.metrics.AgentMetrics;
import org.wigeontally.metrics.ControlMetrics;
import org.wigeontally.metrics.MetricsApi;
import org.wigeontally.misc.Clock;
import org.wigeontally.misc.Closer;
import org.wigeontally.schema.generated.AgentSettings;
import org.wigeontally.schema.generated.BackendSettings;
import org.wigeontally.schema.generated.BackendState;
import org.wigeontally.settings.Addresses;

/**
 * The process that runs on a backend server host. It monitors the host's backend servers,
 * reports their state and limits to the entries, and forwards all requests to them.
 */
public final class AgentDaemon implements AutoCloseable {

	private static final Logger logger = LoggerFactory.getLogger(AgentDaemon.class);

	private static final int MAX_BODY_BYTES = 16 << 20;

	private static final long DRAIN_NOTICE_MS = 3000;

	private final Vertx vertx;

	private final AgentSettings settings;

	private final Closer closer;

	private final ControlNode control;

	private final List<BackendLink> links;

	private final PrometheusRegistry registry = new PrometheusRegistry();

	private final DispatchApi dispatchApi;

	private final Optional<ModelDistributor> modelDistributor;

	private final Clock clock;

	private DaemonServer server;

	private AgentDaemon(Vertx vertx, AgentSettings settings, Closer closer, ControlNode control,
			List<BackendLink> links, Clock clock) {
		this.vertx = vertx;
		this.settings = settings;
		this.closer = closer;
		this.control = control;
		this.links = links;
		this.clock = clock;
		this.dispatchApi = new DispatchApi(vertx, control.view(), links,
				closer.add(BackendLossNotifier.create(vertx, control.view(), clock)),
				AgentMetrics.create(this.registry), clock);
		this.modelDistributor = ModelDistributor.start(vertx, settings, control.view(), links, clock);
		this.modelDistributor.ifPresent(closer::add);
	}

	/**
	 * Starts an agent.
	 * @param vertx the Vert.x instance to run on
	 * @param settings validated settings
	 * @param clock source of time
	 * @return a future that succeeds with the agent when it listens
	 */
	public static Future<AgentDaemon> start(Vertx vertx, AgentSettings settings, Clock clock) {
		Closer closer = Closer.create();
		List<BackendLink> links = new ArrayList<>();
		for (BackendSettings backend : settings.getBackendsList()) {
			links.add(closer.add(BackendLink.start(vertx, backend, clock)));
		}
		ControlSettings controlSettings = ControlSettings.of(settings);
		return ControlNode.start(vertx, controlSettings, null, KeyRing.acceptingAll(), clock).compose((control) -> {
			closer.add(control::close);
			if (settings.getPlatform().hasHostList()) {
				closer.add(HostListFollower.start(vertx, settings.getPlatform().getHostList(), control));
			}
			AgentDaemon daemon = new AgentDaemon(vertx, settings, closer, control, links, clock);
			control.setBackendStates(daemon::backendStates);
			return daemon.listen().map(daemon);
		});
	}

	private Future<DaemonServer> listen() {
		Router router = Router.router(this.vertx);
		ControlMetrics.register(this.registry, this.control.view());
		ControlMetrics.registerBackends(this.registry, this::backendStates);
		MetricsApi.mount(router, this.registry, this.control.view()::isServing);
		this.modelDistributor.ifPresent((distributor) -> router.route("/*").subRouter(distributor.router()));
		this.dispatchApi.mount(router, MAX_BODY_BYTES);
		return DaemonServer.start(this.vertx, this.settings.getListen(), this.control.handler(), router)
			.onSuccess((server) -> {
				this.server = this.closer.add(server);
				logger.info("agent: {} listens on {}", this.settings.getHost(),
						Addresses.format(this.settings.getListen()));
			});
	}

	private List<BackendState> backendStates() {
		List<BackendState> states = this.links.stream().map(BackendLink::stateWithLoad).toList();
		return this.modelDistributor.map((distributor) -> states.stream().map(distributor::withProgress).toList())
			.orElse(states);
	}

	/**
	 * Returns the control node of this process.
	 * @return the control node
	 */
	public ControlNode control() {
		return this.control;
	}

	/**
	 * Drains the agent: refuses new requests, closes the port and the idle connections,
	 * waits for the others, then closes.
	 * @return the number of requests that did not complete within the drain time
	 */
	public Future<Integer> drain() {
		logger.info("agent: {} is draining", this.settings.getHost());
		this.control.leave();
		return this.server.drain(DRAIN_NOTICE_MS, this.settings.getDrainMs(), this.clock)
			.map((drained) -> this.dispatchApi.inFlight())
			.onSuccess((aborted) -> {
				logger.info("agent: {} is drained, {} requests aborted", this.settings.getHost(), aborted);
				close();
			});
	}

	@Override
	public void close() {
		try {
			this.closer.close();
		}
		catch (Exception ex) {
			logger.warn("agent: failed to close: {}", ex.getMessage());
		}
	}

}
