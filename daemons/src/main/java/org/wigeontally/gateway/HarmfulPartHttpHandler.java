package org.wigeontally.gateway;

import java.util.Optional;

import io.vertx.core.http.HttpMethod;
import io.vertx.core.http.HttpServerRequest;
import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;

import org.wigeontally.harmful.PromptPart;

/**
 * Shows operators the parts of prompts whose requests are refused, and allows them again:
 * {@code GET /harmful-parts} and {@code DELETE /harmful-parts/SERVICE/PART} at the
 * address of the metrics. Runs on the event loop.
 */
final class HarmfulPartHttpHandler {

	private static final String PATH = "/harmful-parts";

	private final HarmfulPartGuard guard;

	private final HarmfulPartStore store;

	HarmfulPartHttpHandler(HarmfulPartGuard guard, HarmfulPartStore store) {
		this.guard = guard;
		this.store = store;
	}

	/**
	 * Handles a request if it is for this handler.
	 * @param request the request
	 * @return false if the request is for another one
	 */
	boolean handle(HttpServerRequest request) {
		if (!request.path().equals(PATH) && !request.path().startsWith(PATH + "/")) {
			return false;
		}
		if (request.method() == HttpMethod.GET && request.path().equals(PATH)) {
			JsonArray parts = new JsonArray();
			this.guard.harmfulParts()
				.forEach((part) -> parts.add(new JsonObject().put("service", part.service()).put("part", part.id())));
			request.response().putHeader("Content-Type", "application/json").end(parts.toBuffer());
			return true;
		}
		Optional<PromptPart> part = part(request.path());
		if (request.method() != HttpMethod.DELETE || part.isEmpty()) {
			request.response().setStatusCode(405).end("GET " + PATH + " or DELETE " + PATH + "/SERVICE/PART\n");
			return true;
		}
		boolean lifted = this.guard.lift(part.get());
		if (lifted) {
			this.store.remove(part.get());
		}
		request.response().setStatusCode(lifted ? 204 : 404).end();
		return true;
	}

	private static Optional<PromptPart> part(String path) {
		String[] segments = path.split("/");
		return (segments.length == 4) ? Optional.of(new PromptPart(segments[2], segments[3])) : Optional.empty();
	}

}
