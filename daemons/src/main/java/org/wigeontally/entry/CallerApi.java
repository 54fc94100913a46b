package org.wigeontally.entry;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Random;
import java.util.Set;

import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;
import io.vertx.ext.web.Router;
import io.vertx.ext.web.RoutingContext;
import io.vertx.ext.web.handler.BodyHandler;
import io.vertx.ext.web.handler.PlatformHandler;

import org.wigeontally.addresses.AddressAnswer;
import org.wigeontally.addresses.EntryCandidate;
import org.wigeontally.configuration.Configuration;
import org.wigeontally.control.ControlView;
import org.wigeontally.errors.ErrorType;
import org.wigeontally.http.Refusal;
import org.wigeontally.metrics.RequestMetrics;
import org.wigeontally.metrics.TrafficLabels;
import org.wigeontally.schema.generated.HostIdentity;
import org.wigeontally.schema.generated.HostState;
import org.wigeontally.schema.generated.Liveness;
import org.wigeontally.schema.generated.Role;
import org.wigeontally.settings.Addresses;

/**
 * HTTP interface for callers: lists the addresses of entries and accepts requests to
 * services.
 */
final class CallerApi {

	private static final long RETRY_AFTER_MS = 500;

	private final ControlView view;

	private final RequestReader reader;

	private final Dispatcher dispatcher;

	private final AtMostOnceRequests atMostOnce;

	private final RequestMetrics metrics;

	private final Random random = new Random();

	CallerApi(ControlView view, RequestReader reader, Dispatcher dispatcher, AtMostOnceRequests atMostOnce,
			RequestMetrics metrics) {
		this.view = view;
		this.reader = reader;
		this.dispatcher = dispatcher;
		this.atMostOnce = atMostOnce;
		this.metrics = metrics;
	}

	void mount(Router router, int bodyLimitBytes) {
		router.get("/v1/addresses").handler(this::handleAddresses);
		router.route(RequestReader.PATH_PREFIX + ":service/*")
			.handler((PlatformHandler) this.metrics::trackErrorAnswer)
			.handler((PlatformHandler) this::refuseIfNotServing)
			.handler(BodyHandler.create(false).setBodyLimit(bodyLimitBytes))
			.handler(this::handleRequest)
			.failureHandler((context) -> handleFailure(context, bodyLimitBytes));
	}

	private void refuseIfNotServing(RoutingContext context) {
		Configuration configuration = this.view.configuration();
		if (!this.view.isServing()) {
			refuse(context, "its configuration is not confirmed or it leaves");
			return;
		}
		if (configuration.isZoneOut(this.view.self().getZone())) {
			refuse(context, "its availability zone is out");
			return;
		}
		if (configuration.isHostDraining(this.view.self().getHost())) {
			refuse(context, "the host drains");
			return;
		}
		context.next();
	}

	private static void refuse(RoutingContext context, String reason) {
		Refusal.notRun(ErrorType.NOT_SERVING, RETRY_AFTER_MS, reason).send(context.response());
	}

	private void handleRequest(RoutingContext context) {
		CallerRequest request;
		try {
			request = this.reader.read(context, this.view.configuration());
		}
		catch (RefusedException ex) {
			ex.refusal().send(context.response());
			return;
		}
		this.metrics.trackRequest(context,
				new TrafficLabels(request.organisation().getName(), request.service().getName(), request.priority()));
		if (request.mustRunAtMostOnce() && !request.idempotencyKey().isEmpty()) {
			this.atMostOnce.run(request, context.response());
			return;
		}
		this.dispatcher.dispatch(request, "", context.response());
	}

	private static void handleFailure(RoutingContext context, int bodyLimitBytes) {
		if (context.statusCode() == 413) {
			Refusal.notRun(ErrorType.BODY_TOO_LARGE, Refusal.NO_RETRY, bodyLimitBytes).send(context.response());
			return;
		}
		Refusal.notRun(ErrorType.BAD_REQUEST, Refusal.NO_RETRY, "it cannot be read").send(context.response());
	}

	private void handleAddresses(RoutingContext context) {
		HostIdentity self = this.view.self();
		String region = context.request().getParam("region", self.getRegion());
		String zone = context.request().getParam("zone", self.getZone());
		AddressAnswer answer = AddressAnswer.of(entryCandidates(), zonesOut(), region, zone, this.random);
		JsonArray list = new JsonArray();
		for (EntryCandidate entry : answer.entries()) {
			list.add(new JsonObject().put("address", Addresses.format(entry.address()))
				.put("zone", entry.zone())
				.put("region", entry.region()));
		}
		context.json(new JsonObject().put("addresses", list).put("keep_ms", answer.ttlMs()));
	}

	private List<EntryCandidate> entryCandidates() {
		List<EntryCandidate> entries = new ArrayList<>();
		for (HostState state : this.view.hosts()) {
			HostIdentity host = state.getHost();
			if (host.getRole() == Role.ENTRY) {
				boolean serving = state.getLiveness() == Liveness.LIVE
						&& !this.view.configuration().isHostDraining(host.getHost());
				entries.add(new EntryCandidate(host.getHost(), host.getRegion(), host.getZone(), host.getAddress(),
						serving, 0));
			}
		}
		return entries;
	}

	private Set<String> zonesOut() {
		Set<String> out = new HashSet<>();
		for (HostState state : this.view.hosts()) {
			if (this.view.configuration().isZoneOut(state.getHost().getZone())) {
				out.add(state.getHost().getZone());
			}
		}
		return out;
	}

}
