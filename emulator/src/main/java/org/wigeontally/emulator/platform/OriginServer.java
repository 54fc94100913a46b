package org.wigeontally.emulator.platform;

import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicLong;

import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.Vertx;
import io.vertx.core.http.HttpServer;
import io.vertx.ext.web.Router;
import io.vertx.ext.web.RoutingContext;

import org.wigeontally.misc.Clock;
import org.wigeontally.schema.generated.Address;
import org.wigeontally.schema.generated.Manifest;
import org.wigeontally.spread.ByteFetcher;
import org.wigeontally.spread.PacedUpload;
import org.wigeontally.spread.UploadTransport;
import org.wigeontally.weights.Digests;
import org.wigeontally.weights.LinkRateLimiter;
import org.wigeontally.weights.Manifests;

/**
 * The origin of weights, or the rate-limited weight store: {@code GET /manifests/DIGEST}
 * and {@code GET /chunks/DIGEST}. {@code POST /fault?mode=down} brings a fault about.
 */
public final class OriginServer {

	private static final long SLOW_MS = 1500;

	private final Vertx vertx;

	private final PacedUpload upload;

	private final Map<String, byte[]> manifests = new ConcurrentHashMap<>();

	private final Map<String, byte[]> chunks = new ConcurrentHashMap<>();

	private final AtomicLong chunkBytesOut = new AtomicLong();

	private final AtomicLong requests = new AtomicLong();

	private volatile Fault fault = Fault.NONE;

	private OriginServer(Vertx vertx, Clock clock, int kbps, UploadTransport wire) {
		this.vertx = vertx;
		this.upload = new PacedUpload(vertx, clock, LinkRateLimiter.ofKbps(kbps), wire, Links.ORIGIN);
	}

	/**
	 * Creates an origin that holds nothing.
	 * @param vertx the Vert.x instance
	 * @param clock source of time
	 * @param kbps rate limit; 0 for none
	 * @param wire the network
	 * @return the origin, not yet listening
	 */
	public static OriginServer create(Vertx vertx, Clock clock, int kbps, UploadTransport wire) {
		return new OriginServer(vertx, clock, kbps, wire);
	}

	/**
	 * Starts to listen.
	 * @param address where
	 * @return the running server
	 */
	public Future<HttpServer> listen(Address address) {
		Router router = Router.router(this.vertx);
		router.get("/manifests/:digest").handler((context) -> serve(context, this.manifests));
		router.get("/chunks/:digest").handler((context) -> serve(context, this.chunks));
		router.post("/fault").handler((context) -> {
			this.fault = Fault.valueOf(context.request().getParam("mode").toUpperCase(java.util.Locale.ROOT));
			context.response().end();
		});
		return this.vertx.createHttpServer().requestHandler(router).listen(address.getPort(), address.getIp());
	}

	/**
	 * Publishes a version.
	 * @param manifest the signed manifest
	 * @param bytes all bytes of the version
	 * @return digest of the manifest
	 */
	public String publish(Manifest manifest, byte[] bytes) {
		List<byte[]> cut = Manifests.split(bytes, manifest.getChunkBytes());
		for (byte[] chunk : cut) {
			this.chunks.put(Digests.sha256Hex(chunk), chunk);
		}
		String digest = Manifests.digest(manifest);
		this.manifests.put(digest, manifest.toByteArray());
		return digest;
	}

	/**
	 * Brings a fault about.
	 * @param newFault the fault
	 */
	public void fault(Fault newFault) {
		this.fault = newFault;
	}

	/**
	 * Returns the bytes of chunks that were sent or on their way.
	 * @return number of bytes
	 */
	public long chunkBytesOut() {
		return this.chunkBytesOut.get();
	}

	/**
	 * Returns the requests that came.
	 * @return number of requests
	 */
	public long requests() {
		return this.requests.get();
	}

	private void serve(RoutingContext context, Map<String, byte[]> from) {
		this.requests.incrementAndGet();
		byte[] bytes = from.get(context.pathParam("digest"));
		if (bytes == null) {
			context.response().setStatusCode(404).end();
			return;
		}
		String host = context.request().getHeader(ByteFetcher.HOST_HEADER);
		String to = (host != null) ? host : "unknown";
		switch (this.fault) {
			case DOWN -> context.response().setStatusCode(500).end();
			case STALL -> {
			}
			case SLOW -> delayed().onSuccess((passed) -> send(context, to, bytes));
			case CORRUPT -> send(context, to, corrupt(bytes));
			case TRUNCATE ->
				context.response().end(io.vertx.core.buffer.Buffer.buffer().appendBytes(bytes, 0, bytes.length / 2));
			default -> send(context, to, bytes);
		}
	}

	private void send(RoutingContext context, String to, byte[] bytes) {
		this.chunkBytesOut.addAndGet(bytes.length);
		this.upload.send(context.response(), to, true, bytes);
	}

	private Future<Void> delayed() {
		Promise<Void> passed = Promise.promise();
		this.vertx.setTimer(SLOW_MS, (id) -> passed.complete());
		return passed.future();
	}

	private static byte[] corrupt(byte[] bytes) {
		byte[] changed = bytes.clone();
		changed[changed.length / 2] ^= 1;
		return changed;
	}

	/**
	 * What is wrong with the origin.
	 */
	public enum Fault {

		/** Nothing. */
		NONE,
		/** Every request fails. */
		DOWN,
		/** Requests are never answered. */
		STALL,
		/** Answers start late. */
		SLOW,
		/** One bit of each answer is wrong. */
		CORRUPT,
		/** Answers end after half of the bytes. */
		TRUNCATE

	}

}
