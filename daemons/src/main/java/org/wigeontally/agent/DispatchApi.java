package org.wigeontally.agent;

import java.util.List;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicInteger;

import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpServerResponse;
import io.vertx.ext.web.Router;
import io.vertx.ext.web.RoutingContext;
import io.vertx.ext.web.handler.BodyHandler;

import org.wigeontally.admission.AdmissionDecision;
import org.wigeontally.admission.AdmissionRequest;
import org.wigeontally.control.ControlView;
import org.wigeontally.errors.ErrorType;
import org.wigeontally.http.Headers;
import org.wigeontally.http.Refusal;
import org.wigeontally.metrics.AgentMetrics;
import org.wigeontally.metrics.TrafficLabels;
import org.wigeontally.misc.Clock;
import org.wigeontally.schema.generated.BackendState;

/**
 * HTTP API through which entries dispatch requests to the backend servers of this host.
 * It makes the final check that this host may serve a request. The check uses the agent's
 * own current state, because the entry may have routed on stale data. Runs on event
 * loops.
 */
final class DispatchApi {

	private static final String PREFIX = "/dispatch/";

	private static final long RETRY_AFTER_MS = 200;

	private final ControlView view;

	private final List<BackendLink> links;

	private static final double REQUEST_COST_TOKENS = 1;

	private static final List<String> PRIORITIES = List.of("low", "normal", "high");

	private final BackendProxy proxy;

	private final BackendLossNotifier lossNotifier;

	private final AgentMetrics metrics;

	private final AtMostOnceProxy atMostOnceProxy;

	private final AtomicInteger inFlight = new AtomicInteger();

	DispatchApi(Vertx vertx, ControlView view, List<BackendLink> links, BackendLossNotifier lossNotifier,
			AgentMetrics metrics, Clock clock) {
		this.view = view;
		this.links = List.copyOf(links);
		this.lossNotifier = lossNotifier;
		this.metrics = metrics;
		this.proxy = new BackendProxy(vertx);
		this.atMostOnceProxy = new AtMostOnceProxy(vertx, view.self().getProcess(), clock);
	}

	void mount(Router router, int maxBodyBytes) {
		router.route(PREFIX + ":service/*").handler(BodyHandler.create(false).setBodyLimit(maxBodyBytes));
		router.route(PREFIX + ":service/*").handler(this::dispatch);
		this.atMostOnceProxy.mount(router);
	}

	private void dispatch(RoutingContext context) {
		String service = context.pathParam("service");
		String path = context.request().uri().substring(PREFIX.length() + service.length());
		Optional<DispatchRequest> parsed = DispatchRequest.parse(service, path, context.request());
		if (parsed.isEmpty()) {
			Refusal.notRun(ErrorType.BAD_REQUEST, Refusal.NO_RETRY, "dispatch headers").send(context.response());
			return;
		}
		DispatchRequest request = parsed.get();
		context.response().putHeader(Headers.DISPATCH, request.id());
		BackendLink link = findLink(service);
		Optional<Refusal> refusal = findRefusal(request, link);
		if (refusal.isPresent()) {
			sendRefusal(request, refusal.get(), context.response());
			return;
		}
		this.inFlight.incrementAndGet();
		context.addEndHandler((unused) -> this.inFlight.decrementAndGet());
		Buffer body = (context.body().buffer() != null) ? context.body().buffer() : Buffer.buffer();
		context.response().closeHandler((closed) -> link.admission().cancelQueued(request.id()));
		link.admission().offer(toAdmissionRequest(request, link), (decision) -> {
			BackendAdmission.Load load = link.admission().load();
			TrafficLabels labels = new TrafficLabels(request.organisation(), service, request.priority());
			if (decision.verdict() == AdmissionDecision.Verdict.RUN) {
				this.metrics.recordAdmission(labels, decision.waitedMs(), load.isCold());
				forward(request, body, link, context.response());
				return;
			}
			this.metrics.recordRefusal(labels, decision.reason().number());
			context.response().putHeader(Headers.LOAD, load.headerValue());
			sendRefusal(request, toRefusal(decision), context.response());
		});
	}

	private void forward(DispatchRequest request, Buffer body, BackendLink link, HttpServerResponse response) {
		if (request.claimHeader().isEmpty()) {
			this.lossNotifier.requestStarted(request.id(), request.fingerprint());
			this.proxy.forward(request, body, link, response, this.lossNotifier);
		}
		else {
			this.atMostOnceProxy.forward(request, body, link, response);
		}
	}

	private void sendRefusal(DispatchRequest request, Refusal refusal, HttpServerResponse response) {
		if (request.claimHeader().isEmpty()) {
			refusal.send(response);
		}
		else {
			this.atMostOnceProxy.fenceAndRefuse(request, refusal, response);
		}
	}

	private static AdmissionRequest toAdmissionRequest(DispatchRequest request, BackendLink link) {
		AdmissionRequest admissionRequest = AdmissionRequest
			.of(request.id(), request.organisation(), REQUEST_COST_TOKENS)
			.withPriority(PRIORITIES.indexOf(request.priority()))
			.withDeadline(link.admission().nowMs() + request.remainingMs());
		return request.isSuspect() ? admissionRequest.asSuspect() : admissionRequest;
	}

	private static Refusal toRefusal(AdmissionDecision decision) {
		ErrorType reason = decision.reason();
		Object argument = switch (reason) {
			case OVER_SHARE -> decision.request().organisation();
			default -> "the backend server is down";
		};
		return Refusal.notRun(reason, decision.retryAfterMs(), argument);
	}

	private BackendLink findLink(String service) {
		for (BackendLink link : this.links) {
			if (link.settings().getService().equals(service)) {
				return link;
			}
		}
		return null;
	}

	private Optional<Refusal> findRefusal(DispatchRequest request, BackendLink link) {
		if (link == null) {
			return notRun(ErrorType.UNKNOWN_SERVICE, request.service());
		}
		if (!this.view.isServing()) {
			return notRun(ErrorType.NOT_SERVING, "its configuration is not confirmed or it leaves");
		}
		if (this.view.configuration().isZoneOut(this.view.self().getZone())) {
			return notRun(ErrorType.NOT_SERVING, "its availability zone is out");
		}
		if (this.view.configuration().isHostDraining(this.view.self().getHost())) {
			return notRun(ErrorType.NOT_SERVING, "the host drains");
		}
		BackendState state = link.state();
		if (!state.getUp()) {
			return notRun(ErrorType.NOT_SERVING, "the backend server is down");
		}
		if (!request.version().isEmpty() && !request.version().equals(state.getVersion())) {
			return notRun(ErrorType.NOT_SERVING, "it has version '" + state.getVersion() + "'");
		}
		if (request.remainingMs() <= 0) {
			return Optional.of(Refusal.notRun(ErrorType.DEADLINE, Refusal.NO_RETRY));
		}
		return Optional.empty();
	}

	private static Optional<Refusal> notRun(ErrorType error, Object argument) {
		return Optional.of(Refusal.notRun(error, RETRY_AFTER_MS, argument));
	}

	int inFlight() {
		return this.inFlight.get();
	}

}
