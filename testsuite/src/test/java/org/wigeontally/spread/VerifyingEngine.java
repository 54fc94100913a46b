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
 * An engine that compares each received byte with the expected weights of the ordered
 * version, and runs the version that it last received completely.
 */
final class VerifyingEngine {

	/** Small enough that a load order can be interrupted before it is fully buffered. */
	static final int BUFFER_BYTES = 16384;

	private final Map<String, byte[]> expectedWeights = new ConcurrentHashMap<>();

	private final AtomicInteger wrongBytes = new AtomicInteger();

	private final AtomicInteger completedLoads = new AtomicInteger();

	private final AtomicInteger interruptedLoads = new AtomicInteger();

	private volatile String runningVersion = "";

	private volatile int pauseAfterBytes = Integer.MAX_VALUE;

	private volatile boolean paused;

	private volatile HttpServerRequest pausedRequest;

	private final HttpServer server;

	private VerifyingEngine(Vertx vertx, HttpServerOptions options) {
		this.server = vertx.createHttpServer(options)
			.requestHandler(this::handleLoad)
			.listen(0, "127.0.0.1")
			.toCompletionStage()
			.toCompletableFuture()
			.join();
	}

	static VerifyingEngine start(Vertx vertx) {
		return new VerifyingEngine(vertx, new HttpServerOptions());
	}

	/**
	 * Starts an engine with a small receive buffer, so that a load order can be
	 * interrupted halfway.
	 * @param vertx the Vert.x instance
	 * @return the engine
	 */
	static VerifyingEngine startWithSmallBuffer(Vertx vertx) {
		return new VerifyingEngine(vertx, new HttpServerOptions().setReceiveBufferSize(BUFFER_BYTES));
	}

	void expectWeights(String model, String version, byte[] bytes) {
		this.expectedWeights.put(model + "/" + version, bytes);
	}

	void pauseAfter(int bytes) {
		this.pauseAfterBytes = bytes;
		this.paused = false;
	}

	void resume() {
		this.pauseAfterBytes = Integer.MAX_VALUE;
		this.pausedRequest.resume();
	}

	Address address() {
		return Address.newBuilder().setIp("127.0.0.1").setPort(this.server.actualPort()).build();
	}

	String runningVersion() {
		return this.runningVersion;
	}

	boolean isPaused() {
		return this.paused;
	}

	int wrongBytes() {
		return this.wrongBytes.get();
	}

	int completedLoads() {
		return this.completedLoads.get();
	}

	int interruptedLoads() {
		return this.interruptedLoads.get();
	}

	private void handleLoad(HttpServerRequest request) {
		String version = request.getHeader(WeightLoader.VERSION_HEADER);
		byte[] expected = this.expectedWeights.get(request.getHeader(WeightLoader.MODEL_HEADER) + "/" + version);
		Buffer received = Buffer.buffer();
		request.handler((buffer) -> {
			for (int index = 0; index < buffer.length(); index++) {
				int position = received.length() + index;
				if (position >= expected.length || expected[position] != buffer.getByte(index)) {
					this.wrongBytes.incrementAndGet();
				}
			}
			received.appendBuffer(buffer);
			if (received.length() > this.pauseAfterBytes) {
				this.paused = true;
				this.pausedRequest = request;
				request.pause();
			}
		});
		request.exceptionHandler((cause) -> this.interruptedLoads.incrementAndGet());
		request.endHandler((end) -> {
			if (Digests.sha256Hex(received.getBytes()).equals(Digests.sha256Hex(expected))) {
				this.runningVersion = version;
				this.completedLoads.incrementAndGet();
			}
			request.response().end();
		});
	}

}
