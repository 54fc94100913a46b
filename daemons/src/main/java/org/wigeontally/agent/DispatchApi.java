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
 * Takes dispatched requests from entries and is the last gate before a backend server:
 * whether this host may serve at all is judged here, at the moment of use, whatever the
 * entry believed. Runs on event loops.
 */
final class DispatchApi {

	private static final String PREFIX = "/dispatch/";

	private static final long RETRY_SOON_MS = 200;

	private final ControlView view;

	private final List<BackendLink> links;

	private static final double COST = 1;

	private static final List<String> PRIORITIES = List.of("low", "normal", "high");

	private final BackendProxy proxy;

	private final LossNotices notices;

	private final AgentMetrics metrics;

	private final OnceProxy once;

	private final AtomicInteger inFlight = new AtomicInteger();

	DispatchApi(Vertx vertx, ControlView view, List<BackendLink> links, LossNotices notices, AgentMetrics metrics,
			Clock clock) {
		this.view = view;
		this.links = List.copyOf(links);
		this.notices = notices;
		this.metrics = metrics;
		this.proxy = new BackendProxy(vertx);
		this.once = new OnceProxy(vertx, view.self().getProcess(), clock);
	}

	void mount(Router router, int bodyLimitBytes) {
		router.route(PREFIX + ":service/*").handler(BodyHandler.create(false).setBodyLimit(bodyLimitBytes));
		router.route(PREFIX + ":service/*").handler(this::dispatch);
		this.once.mount(router);
	}

	private void dispatch(RoutingContext context) {
		String service = context.pathParam("service");
		String path = context.request().uri().substring(PREFIX.length() + service.length());
		Optional<DispatchRequest> read = DispatchRequest.read(service, path, context.request());
		if (read.isEmpty()) {
			Refusal.notRun(ErrorType.BAD_REQUEST, Refusal.NEVER, "dispatch headers").send(context.response());
			return;
		}
		DispatchRequest request = read.get();
		context.response().putHeader(Headers.DISPATCH, request.id());
		BackendLink link = link(service);
		Optional<Refusal> refusal = check(request, link);
		if (refusal.isPresent()) {
			refuse(request, refusal.get(), context.response());
			return;
		}
		this.inFlight.incrementAndGet();
		context.addEndHandler((end) -> this.inFlight.decrementAndGet());
		Buffer body = (context.body().buffer() != null) ? context.body().buffer() : Buffer.buffer();
		context.response().closeHandler((closed) -> link.gate().withdraw(request.id()));
		link.gate().offer(admissionRequest(request, link), (admission) -> {
			BackendGate.Load load = link.gate().load();
			TrafficLabels labels = new TrafficLabels(request.organisation(), service, request.priority());
			if (admission.verdict() == AdmissionDecision.Verdict.RUN) {
				this.metrics.admitted(labels, admission.waitedMs(), load.cold());
				run(request, body, link, context.response());
				return;
			}
			this.metrics.refused(labels, admission.reason().number());
			context.response().putHeader(Headers.LOAD, load.header());
			refuse(request, refused(admission), context.response());
		});
	}

	private void run(DispatchRequest request, Buffer body, BackendLink link, HttpServerResponse response) {
		if (request.claim().isEmpty()) {
			this.notices.started(request.id(), request.fingerprint());
			this.proxy.forward(request, body, link, response, this.notices);
		}
		else {
			this.once.forward(request, body, link, response);
		}
	}

	private void refuse(DispatchRequest request, Refusal refusal, HttpServerResponse response) {
		if (request.claim().isEmpty()) {
			refusal.send(response);
		}
		else {
			this.once.refused(request, refusal, response);
		}
	}

	private static AdmissionRequest admissionRequest(DispatchRequest request, BackendLink link) {
		AdmissionRequest admission = AdmissionRequest.of(request.id(), request.organisation(), COST)
			.withPriority(PRIORITIES.indexOf(request.priority()))
			.withDeadline(link.gate().nowMs() + request.deadlineMs());
		return request.suspect() ? admission.asSuspect() : admission;
	}

	private static Refusal refused(AdmissionDecision admission) {
		ErrorType reason = admission.reason();
		Object argument = switch (reason) {
			case OVER_SHARE -> admission.request().organisation();
			default -> "the backend server is down";
		};
		return Refusal.notRun(reason, admission.retryAfterMs(), argument);
	}

	private BackendLink link(String service) {
		for (BackendLink link : this.links) {
			if (link.settings().getService().equals(service)) {
				return link;
			}
		}
		return null;
	}

	private Optional<Refusal> check(DispatchRequest request, BackendLink link) {
		if (link == null) {
			return refuse(ErrorType.UNKNOWN_SERVICE, request.service());
		}
		if (!this.view.serving()) {
			return refuse(ErrorType.NOT_SERVING, "its configuration is not confirmed or it leaves");
		}
		if (this.view.configuration().isZoneOut(this.view.self().getZone())) {
			return refuse(ErrorType.NOT_SERVING, "its availability zone is out");
		}
		if (this.view.configuration().isHostDraining(this.view.self().getHost())) {
			return refuse(ErrorType.NOT_SERVING, "the host drains");
		}
		BackendState state = link.state();
		if (!state.getUp()) {
			return refuse(ErrorType.NOT_SERVING, "the backend server is down");
		}
		if (!request.version().isEmpty() && !request.version().equals(state.getVersion())) {
			return refuse(ErrorType.NOT_SERVING, "it has version '" + state.getVersion() + "'");
		}
		if (request.deadlineMs() <= 0) {
			return Optional.of(Refusal.notRun(ErrorType.DEADLINE, Refusal.NEVER));
		}
		return Optional.empty();
	}

	private static Optional<Refusal> refuse(ErrorType error, Object argument) {
		return Optional.of(Refusal.notRun(error, RETRY_SOON_MS, argument));
	}

	int inFlight() {
		return this.inFlight.get();
	}

}
