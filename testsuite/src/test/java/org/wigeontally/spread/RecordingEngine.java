package org.wigeontally.spread;

import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpServer;
import io.vertx.core.http.HttpServerOptions;
import io.vertx.core.http.HttpServerRequest;

import org.wigeontally.schema.generated.Address;
import org.wigeontally.weights.Digests;

/**
 * An engine that checks every byte that it gets against the true bytes of the version in
 * the order, and serves the version whose body last came whole.
 */
final class RecordingEngine {

	/** Small buffers, so that an order is cut and not buffered whole. */
	static final int BUFFER_BYTES = 16384;

	private final Map<String, byte[]> truth = new ConcurrentHashMap<>();

	private final AtomicInteger wrongBytes = new AtomicInteger();

	private final AtomicInteger wholeOrders = new AtomicInteger();

	private final AtomicInteger cutOrders = new AtomicInteger();

	private volatile String running = "";

	private volatile int pauseAfterBytes = Integer.MAX_VALUE;

	private volatile boolean paused;

	private volatile HttpServerRequest waiting;

	private final HttpServer server;

	private RecordingEngine(Vertx vertx, HttpServerOptions options) {
		this.server = vertx.createHttpServer(options)
			.requestHandler(this::load)
			.listen(0, "127.0.0.1")
			.toCompletionStage()
			.toCompletableFuture()
			.join();
	}

	static RecordingEngine start(Vertx vertx) {
		return new RecordingEngine(vertx, new HttpServerOptions());
	}

	/**
	 * Starts an engine that takes in little ahead of what it reads, so that an order can
	 * be cut in its middle.
	 * @param vertx the Vert.x instance
	 * @return the engine
	 */
	static RecordingEngine startWithSmallBuffer(Vertx vertx) {
		return new RecordingEngine(vertx, new HttpServerOptions().setReceiveBufferSize(BUFFER_BYTES));
	}

	void truth(String model, String version, byte[] bytes) {
		this.truth.put(model + "/" + version, bytes);
	}

	void pauseAfter(int bytes) {
		this.pauseAfterBytes = bytes;
		this.paused = false;
	}

	void resume() {
		this.pauseAfterBytes = Integer.MAX_VALUE;
		this.waiting.resume();
	}

	Address address() {
		return Address.newBuilder().setIp("127.0.0.1").setPort(this.server.actualPort()).build();
	}

	String running() {
		return this.running;
	}

	boolean paused() {
		return this.paused;
	}

	int wrongBytes() {
		return this.wrongBytes.get();
	}

	int wholeOrders() {
		return this.wholeOrders.get();
	}

	int cutOrders() {
		return this.cutOrders.get();
	}

	private void load(HttpServerRequest request) {
		String version = request.getHeader(WeightLoader.VERSION_HEADER);
		byte[] expected = this.truth.get(request.getHeader(WeightLoader.MODEL_HEADER) + "/" + version);
		Buffer got = Buffer.buffer();
		request.handler((piece) -> {
			for (int index = 0; index < piece.length(); index++) {
				int at = got.length() + index;
				if (at >= expected.length || expected[at] != piece.getByte(index)) {
					this.wrongBytes.incrementAndGet();
				}
			}
			got.appendBuffer(piece);
			if (got.length() > this.pauseAfterBytes) {
				this.paused = true;
				this.waiting = request;
				request.pause();
			}
		});
		request.exceptionHandler((cause) -> this.cutOrders.incrementAndGet());
		request.endHandler((end) -> {
			if (Digests.sha256Hex(got.getBytes()).equals(Digests.sha256Hex(expected))) {
				this.running = version;
				this.wholeOrders.incrementAndGet();
			}
			request.response().end();
		});
	}

}
