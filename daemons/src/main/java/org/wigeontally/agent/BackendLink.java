package org.wigeontally.agent;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.http.HttpClient;
import io.vertx.core.http.HttpClientOptions;
import io.vertx.core.http.HttpClientResponse;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.http.PoolOptions;
import io.vertx.core.http.RequestOptions;
import io.vertx.core.json.DecodeException;
import io.vertx.core.json.JsonObject;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

import org.wigeontally.admission.EngineReport;
import org.wigeontally.misc.Clock;
import org.wigeontally.schema.generated.BackendKind;
import org.wigeontally.schema.generated.BackendSettings;
import org.wigeontally.schema.generated.BackendState;

/**
 * The agent's link to one backend server: its settings, HTTP client, admission control
 * and last reported state. The link polls the state; after
 * {@link #DOWN_AFTER_FAILED_POLLS} failed polls in a row it marks the backend server as
 * down. Polls and state changes run on the context that created the link;
 * {@link #state()} may be called from any thread.
 */
final class BackendLink implements AutoCloseable {

	private static final Logger logger = LoggerFactory.getLogger(BackendLink.class);

	private static final long POLL_INTERVAL_MS = 200;

	private static final long POLL_TIMEOUT_MS = 600;

	private static final int DOWN_AFTER_FAILED_POLLS = 2;

	private static final int MAX_CONNECTIONS = 512;

	private final Vertx vertx;

	private final BackendSettings settings;

	private final HttpClient client;

	private final long timer;

	private final BackendAdmission admission;

	private volatile BackendState state;

	private volatile long reportRequestedMs = Long.MIN_VALUE;

	private int failedPolls;

	private boolean polling;

	private BackendLink(Vertx vertx, BackendSettings settings, Clock clock) {
		this.vertx = vertx;
		this.settings = settings;
		this.admission = BackendAdmission.create(vertx, settings, clock);
		this.client = vertx.httpClientBuilder()
			.with(new HttpClientOptions().setConnectTimeout((int) POLL_TIMEOUT_MS).setTcpNoDelay(true))
			.with(new PoolOptions().setHttp1MaxSize(MAX_CONNECTIONS))
			.build();
		this.state = BackendState.newBuilder()
			.setService(settings.getService())
			.setKind(settings.getKind())
			.setLimit(settings.getCapacity())
			.build();
		this.timer = vertx.setPeriodic(1, POLL_INTERVAL_MS, (id) -> poll());
	}

	static BackendLink start(Vertx vertx, BackendSettings settings, Clock clock) {
		return new BackendLink(vertx, settings, clock);
	}

	private void poll() {
		if (this.polling) {
			return;
		}
		this.polling = true;
		long requestedMs = this.admission.nowMs();
		this.client.request(requestOptions(HttpMethod.GET, "/load").setIdleTimeout(POLL_TIMEOUT_MS))
			.compose((request) -> request.send())
			.compose(HttpClientResponse::body)
			.map((body) -> body.toJsonObject())
			.onComplete((result) -> {
				this.polling = false;
				if (result.succeeded()) {
					handleReport(result.result(), requestedMs);
				}
				else {
					handlePollFailure(result.cause());
				}
			});
	}

	private void handleReport(JsonObject report, long requestedMs) {
		this.failedPolls = 0;
		boolean wasUp = this.state.getUp();
		BackendState.Builder builder = this.state.toBuilder();
		try {
			builder.setUp(true)
				.setVersion(report.getString("version", ""))
				.setCold(report.getBoolean("cold", false))
				.setRunning(report.getInteger("running", 0));
		}
		catch (ClassCastException | DecodeException ex) {
			logger.warn("agent: {} sent a malformed load report", this.settings.getService());
			return;
		}
		this.state = builder.build();
		this.reportRequestedMs = requestedMs;
		if (!wasUp) {
			this.admission.backendUp();
			logger.info("agent: {} is up, version '{}'", this.settings.getService(), this.state.getVersion());
		}
		this.admission.applyReport(builder.getRunning(), warmupState(report), requestedMs);
	}

	private static EngineReport.WarmupState warmupState(JsonObject report) {
		if (!report.containsKey("cold")) {
			return EngineReport.WarmupState.UNKNOWN;
		}
		return report.getBoolean("cold") ? EngineReport.WarmupState.COLD : EngineReport.WarmupState.WARM;
	}

	private void handlePollFailure(Throwable cause) {
		this.failedPolls++;
		if (this.failedPolls < DOWN_AFTER_FAILED_POLLS || !this.state.getUp()) {
			return;
		}
		this.state = this.state.toBuilder().setUp(false).build();
		this.admission.backendDown();
		logger.warn("agent: {} is down: {}", this.settings.getService(), cause.getMessage());
	}

	RequestOptions requestOptions(HttpMethod method, String uri) {
		return new RequestOptions().setMethod(method)
			.setHost(this.settings.getAddress().getIp())
			.setPort(this.settings.getAddress().getPort())
			.setURI(uri);
	}

	HttpClient client() {
		return this.client;
	}

	BackendSettings settings() {
		return this.settings;
	}

	BackendState state() {
		return this.state;
	}

	BackendAdmission admission() {
		return this.admission;
	}

	/**
	 * Returns the last reported state, with the load figures of admission control.
	 * @return the state for metrics and for other hosts
	 */
	BackendState stateWithLoad() {
		BackendAdmission.Load load = this.admission.load();
		return this.state.toBuilder()
			.setRunning(load.running())
			.setQueued(load.queued())
			.setLimit(load.limit())
			.setCold(load.isCold())
			.build();
	}

	/**
	 * Returns the time at which the last report was requested.
	 * @return milliseconds on the monotonic clock; {@link Long#MIN_VALUE} if there is no
	 * report yet
	 */
	long reportRequestedMs() {
		return this.reportRequestedMs;
	}

	boolean isEngine() {
		return this.settings.getKind() == BackendKind.MODEL_ENGINE;
	}

	Future<Void> shutdown() {
		this.vertx.cancelTimer(this.timer);
		this.admission.close();
		return this.client.close();
	}

	@Override
	public void close() {
		shutdown();
	}

}
