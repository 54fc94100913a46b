package org.wigeontally.gateway;

import io.vertx.core.http.HttpMethod;
import io.vertx.core.http.HttpServerRequest;
import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;

/**
 * Shows operators the backend servers that name a limit, and how much of it is used:
 * {@code GET /backend-limits} at the address of the metrics. Runs on the event loop.
 */
final class BackendLimitHttpHandler {

	private static final String PATH = "/backend-limits";

	private final GatewayContext context;

	private final PermitServer permitServer;

	BackendLimitHttpHandler(GatewayContext context, PermitServer permitServer) {
		this.context = context;
		this.permitServer = permitServer;
	}

	/**
	 * Handles a request if it is for this handler.
	 * @param request the request
	 * @return false if the request is for another one
	 */
	boolean handle(HttpServerRequest request) {
		if (!request.path().equals(PATH)) {
			return false;
		}
		if (request.method() != HttpMethod.GET) {
			request.response().setStatusCode(405).end("GET " + PATH + "\n");
			return true;
		}
		JsonArray limits = new JsonArray();
		for (Backend backend : this.context.fleet().backends()) {
			if (backend.limit().isNamed()) {
				limits.add(describe(backend));
			}
		}
		request.response().putHeader("Content-Type", "application/json").end(limits.toBuffer());
		return true;
	}

	private JsonObject describe(Backend backend) {
		long nowMs = this.context.nowMs();
		return new JsonObject().put("backend", backend.record().id())
			.put("service", backend.record().service())
			.put("limit-per-s", backend.limit().perSecond())
			.put("usable-per-s", backend.limit().perSecond() * this.permitServer.share())
			.put("since-ms", nowMs - backend.limit().sinceMs())
			.put("heard-ms", nowMs - backend.limit().evidenceAtMs())
			.put("coordinator", this.permitServer.coordinator(backend).getControl().getIp())
			.put("permitted", backend.permits().permitted())
			.put("next-in-ms", backend.permits().heldMs(nowMs));
	}

}
