package org.wigeontally.spread;

import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Function;

import io.vertx.core.http.HttpServerRequest;
import io.vertx.ext.web.Router;
import io.vertx.ext.web.RoutingContext;

/**
 * Serves chunks, chunk maps and manifests to peers. Uploads take a slot; hosts of other
 * regions have slots of their own, as they fetch for their whole region. Runs on the
 * event loops of the server; the state of versions is asked on the control context.
 */
final class ChunkServer {

	private static final int UPLOAD_SLOTS = 4;

	private static final int BORDER_UPLOAD_SLOTS = 6;

	private static final long MANIFEST_WAIT_MS = 1000;

	private final NodeParts parts;

	private final PacedUpload upload;

	private final Function<String, VersionSpread> spreads;

	private final AtomicInteger uploads = new AtomicInteger();

	private final AtomicInteger borderUploads = new AtomicInteger();

	private ChunkServer(NodeParts parts, PacedUpload upload, Function<String, VersionSpread> spreads) {
		this.parts = parts;
		this.upload = upload;
		this.spreads = spreads;
	}

	static Router router(NodeParts parts, PacedUpload upload, Function<String, VersionSpread> spreads) {
		ChunkServer server = new ChunkServer(parts, upload, spreads);
		Router router = Router.router(parts.vertx());
		router.get("/weights/chunks/:digest").handler(server::chunk);
		router.get("/weights/:manifest/map").handler(server::map);
		router.get("/weights/:manifest/manifest").handler(server::manifest);
		return router;
	}

	private void chunk(RoutingContext context) {
		byte[] bytes = this.parts.store().chunk(context.pathParam("digest"));
		if (bytes == null) {
			context.response().setStatusCode(404).end();
			return;
		}
		String region = context.request().getHeader(ByteFetcher.REGION_HEADER);
		boolean border = region != null && !region.equals(this.parts.settings().self().getRegion());
		AtomicInteger taken = border ? this.borderUploads : this.uploads;
		if (taken.incrementAndGet() > (border ? BORDER_UPLOAD_SLOTS : UPLOAD_SLOTS)) {
			taken.decrementAndGet();
			context.response().setStatusCode(503).end();
			return;
		}
		this.upload.send(context.response(), receiver(context.request()), border, bytes)
			.onComplete((ended) -> taken.decrementAndGet());
	}

	private void map(RoutingContext context) {
		VersionSpread spread = this.spreads.apply(context.pathParam("manifest"));
		if (spread == null) {
			context.response().setStatusCode(404).end();
			return;
		}
		context.response().setChunked(true);
		this.parts.control().runOnContext((now) -> spread.subscribe(context.response()));
	}

	private void manifest(RoutingContext context) {
		VersionSpread spread = this.spreads.apply(context.pathParam("manifest"));
		if (spread == null) {
			context.response().setStatusCode(404).end();
			return;
		}
		spread.manifestBytes()
			.timeout(MANIFEST_WAIT_MS, java.util.concurrent.TimeUnit.MILLISECONDS)
			.onSuccess((bytes) -> this.upload.send(context.response(), receiver(context.request()), true, bytes))
			.onFailure((cause) -> context.response().setStatusCode(404).end());
	}

	private static String receiver(HttpServerRequest request) {
		String host = request.getHeader(ByteFetcher.HOST_HEADER);
		return (host != null) ? host : "";
	}

}
