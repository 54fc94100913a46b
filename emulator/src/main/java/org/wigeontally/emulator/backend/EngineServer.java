package org.wigeontally.emulator.backend;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.http.HttpServer;
import io.vertx.core.http.HttpServerRequest;
import io.vertx.core.http.HttpServerResponse;
import io.vertx.core.json.DecodeException;
import io.vertx.core.json.JsonObject;
import io.vertx.ext.web.Router;
import io.vertx.ext.web.RoutingContext;
import io.vertx.ext.web.handler.BodyHandler;

import org.wigeontally.schema.generated.Address;

/**
 * An emulated model engine over HTTP. It streams tokens as server-sent events, reports
 * its load with a lag, takes orders to load a version with or without a check of the
 * fencing number, is cold for a time after a load, and crashes or freezes when told to.
 * Runs on one event loop; {@link #stats()} may be read from any thread.
 */
public final class EngineServer {

	private static final int BODY_LIMIT_BYTES = 512 << 20;

	private static final String CRASH_PROMPT = "CRASH";

	private final Vertx vertx;

	private final EngineOptions options;

	private final Address address;

	private final EngineStats stats = new EngineStats();

	private final Deque<JsonObject> reports = new ArrayDeque<>();

	private final Map<String, Generation> running = new HashMap<>();

	private HttpServer server;

	private String version;

	private long fence;

	private long coldUntilMs;

	private boolean cold;

	private boolean frozen;

	private EngineServer(Vertx vertx, Address address, EngineOptions options) {
		this.vertx = vertx;
		this.address = address;
		this.options = options;
		this.version = options.version();
	}

	/**
	 * Starts an engine.
	 * @param vertx the Vert.x instance to run on
	 * @param address where to listen
	 * @param options how it behaves
	 * @return the running engine
	 */
	public static Future<EngineServer> start(Vertx vertx, Address address, EngineOptions options) {
		EngineServer engine = new EngineServer(vertx, address, options);
		vertx.setPeriodic(Math.max(10, options.reportLagMs() / 4), (id) -> engine.report());
		return engine.listen().map(engine);
	}

	private Future<Void> listen() {
		Router router = Router.router(this.vertx);
		router.post().handler(BodyHandler.create(false).setBodyLimit(BODY_LIMIT_BYTES));
		router.post("/v1/generate").handler(this::generate);
		router.get("/load").handler(this::load);
		router.post("/orders/load").handler(this::orderLoad);
		router.post("/fault").handler(this::fault);
		router.get("/stats").handler((context) -> context.json(this.stats.json()));
		return this.vertx.createHttpServer()
			.requestHandler(router)
			.listen(this.address.getPort(), this.address.getIp())
			.map((started) -> {
				this.server = started;
				return null;
			});
	}

	private void generate(RoutingContext context) {
		JsonObject body;
		try {
			body = context.body().asJsonObject();
		}
		catch (DecodeException ex) {
			context.response().setStatusCode(400).end("not JSON");
			return;
		}
		String prompt = body.getString("prompt", "");
		if (prompt.contains(CRASH_PROMPT)) {
			this.stats.crashed();
			crash(1000);
			return;
		}
		if (this.version.isEmpty()) {
			context.response().setStatusCode(503).end("no version loaded");
			return;
		}
		int limit = isCold() ? this.options.coldCapacity() : this.options.capacity();
		this.stats.admitted(isCold(), this.running.size() + 1 > limit);
		String id = context.request().getHeader("Wigeontally-Dispatch");
		Generation generation = new Generation(context.response(), this.version, prompt,
				body.getInteger("from_token", 0), body.getInteger("max_tokens", 8));
		String key = (id != null) ? id : "local-" + System.identityHashCode(generation);
		this.running.put(key, generation);
		context.response().exceptionHandler((failure) -> stop(key, generation));
		context.response().closeHandler((closed) -> stop(key, generation));
		schedule(key, generation, firstDelayMs());
	}

	private long firstDelayMs() {
		return isCold() ? this.options.firstTokenMs() * 3L : this.options.firstTokenMs();
	}

	private void schedule(String key, Generation generation, long delayMs) {
		this.vertx.setTimer(Math.max(1, delayMs), (id) -> step(key, generation));
	}

	private void step(String key, Generation generation) {
		if (this.running.get(key) != generation) {
			return;
		}
		if (this.frozen) {
			schedule(key, generation, 20);
			return;
		}
		if (!generation.writeNext()) {
			this.running.remove(key);
			this.stats.finished();
			return;
		}
		int overload = Math.max(1, this.running.size() / Math.max(1, this.options.capacity()));
		schedule(key, generation, (long) this.options.tokenMs() * overload);
	}

	private void stop(String key, Generation generation) {
		if (this.running.remove(key, generation)) {
			this.stats.cancelled();
		}
	}

	private boolean isCold() {
		return this.cold || System.currentTimeMillis() < this.coldUntilMs;
	}

	private void report() {
		if (this.frozen) {
			return;
		}
		JsonObject now = new JsonObject().put("at", System.currentTimeMillis())
			.put("running", this.running.size())
			.put("cold", isCold())
			.put("version", this.version);
		this.reports.addLast(now);
		long oldMs = System.currentTimeMillis() - this.options.reportLagMs();
		while (this.reports.size() > 1 && this.reports.peekFirst().getLong("at") < oldMs) {
			this.reports.removeFirst();
		}
	}

	private void load(RoutingContext context) {
		if (this.frozen) {
			return;
		}
		JsonObject lagging = this.reports.isEmpty() ? new JsonObject().put("running", 0) : this.reports.peekFirst();
		context.json(lagging.copy().put("version", this.version).put("capacity", this.options.capacity()));
	}

	private void orderLoad(RoutingContext context) {
		HttpServerRequest request = context.request();
		long number = Long.parseLong(request.getHeader("Fence"));
		if (this.options.checksFence() && number < this.fence) {
			this.stats.fenced();
			context.response().setStatusCode(409).end("fencing number " + number + " is below " + this.fence);
			return;
		}
		this.fence = Math.max(this.fence, number);
		String next = request.getHeader("Version");
		this.vertx.setTimer(Math.max(1, this.options.loadMs()), (id) -> {
			this.version = next;
			this.coldUntilMs = System.currentTimeMillis() + this.options.coldMs();
			context.json(new JsonObject().put("version", next));
		});
	}

	private void fault(RoutingContext context) {
		HttpServerRequest request = context.request();
		if (request.getParam("cold") != null) {
			this.cold = Boolean.parseBoolean(request.getParam("cold"));
		}
		if (request.getParam("frozen") != null) {
			this.frozen = Boolean.parseBoolean(request.getParam("frozen"));
		}
		context.response().end();
		if (request.getParam("crash_ms") != null) {
			long downMs = Long.parseLong(request.getParam("crash_ms"));
			this.vertx.setTimer(5, (id) -> crash(downMs));
		}
	}

	private void crash(long downMs) {
		this.running.clear();
		this.server.close();
		this.vertx.setTimer(downMs, (id) -> listen());
	}

	/**
	 * Returns what the engine counted.
	 * @return the counts
	 */
	public EngineStats stats() {
		return this.stats;
	}

	/**
	 * One running request. The version stays what it was at the start.
	 */
	private static final class Generation {

		private final HttpServerResponse response;

		private final String version;

		private final String prompt;

		private final int end;

		private int next;

		Generation(HttpServerResponse response, String version, String prompt, int from, int count) {
			this.response = response;
			this.version = version;
			this.prompt = prompt;
			this.next = from;
			this.end = count;
			response.setChunked(true)
				.putHeader("Content-Type", "text/event-stream")
				.putHeader("Model-Version", version);
		}

		boolean writeNext() {
			if (this.next >= this.end) {
				this.response.end("data: [DONE]\n\n");
				return false;
			}
			JsonObject event = new JsonObject().put("index", this.next)
				.put("token", Tokens.token(this.version, this.prompt, this.next));
			this.response.write("data: " + event.encode() + "\n\n");
			this.next++;
			return true;
		}

	}

}
