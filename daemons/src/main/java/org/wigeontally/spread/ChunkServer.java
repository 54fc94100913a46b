package org.wigeontally.spread;

import java.util.function.Function;

import io.vertx.core.http.HttpServerRequest;
import io.vertx.ext.web.Router;
import io.vertx.ext.web.RoutingContext;

import org.wigeontally.weights.UploadSlots;

/**
 * Serves chunks, chunk maps and manifests to peers. The number of concurrent chunk
 * uploads is limited, and a chunk request above the limit is answered with status 503.
 * Uploads to other regions have a separate limit, because their receivers fetch for a
 * whole region, and are sent as urgent. Runs on the event loops of the server;
 * subscriptions to chunk maps run on the control context.
 */
final class ChunkServer {

	private static final long MANIFEST_TIMEOUT_MS = 1000;

	private final NodeResources resources;

	private final PacedUpload upload;

	private final Function<String, VersionReplica> findReplica;

	private final UploadSlots slots = new UploadSlots();

	private ChunkServer(NodeResources resources, PacedUpload upload, Function<String, VersionReplica> findReplica) {
		this.resources = resources;
		this.upload = upload;
		this.findReplica = findReplica;
	}

	static Router createRouter(NodeResources resources, PacedUpload upload,
			Function<String, VersionReplica> findReplica) {
		ChunkServer server = new ChunkServer(resources, upload, findReplica);
		Router router = Router.router(resources.vertx());
		router.get("/weights/chunks/:digest").handler(server::handleChunk);
		router.get("/weights/:manifest/map").handler(server::handleMap);
		router.get("/weights/:manifest/manifest").handler(server::handleManifest);
		return router;
	}

	private void handleChunk(RoutingContext context) {
		byte[] bytes = this.resources.store().chunk(context.pathParam("digest"));
		if (bytes == null) {
			context.response().setStatusCode(404).end();
			return;
		}
		String region = context.request().getHeader(ByteFetcher.REGION_HEADER);
		boolean crossRegion = region != null && !region.equals(this.resources.settings().self().getRegion());
		if (!this.slots.tryAcquire(crossRegion)) {
			context.response().setStatusCode(503).end();
			return;
		}
		this.upload.send(context.response(), receiverHost(context.request()), crossRegion, bytes)
			.onComplete((ended) -> this.slots.release(crossRegion));
	}

	private void handleMap(RoutingContext context) {
		VersionReplica replica = this.findReplica.apply(context.pathParam("manifest"));
		if (replica == null) {
			context.response().setStatusCode(404).end();
			return;
		}
		context.response().setChunked(true);
		this.resources.controlContext().runOnContext((now) -> replica.subscribe(context.response()));
	}

	private void handleManifest(RoutingContext context) {
		VersionReplica replica = this.findReplica.apply(context.pathParam("manifest"));
		if (replica == null) {
			context.response().setStatusCode(404).end();
			return;
		}
		replica.manifestBytes()
			.timeout(MANIFEST_TIMEOUT_MS, java.util.concurrent.TimeUnit.MILLISECONDS)
			.onSuccess((bytes) -> this.upload.send(context.response(), receiverHost(context.request()), true, bytes))
			.onFailure((cause) -> context.response().setStatusCode(404).end());
	}

	private static String receiverHost(HttpServerRequest request) {
		String host = request.getHeader(ByteFetcher.HOST_HEADER);
		return (host != null) ? host : "";
	}

}
