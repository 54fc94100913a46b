package org.wigeontally.emulator.backend;

import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.http.HttpServer;
import io.vertx.core.json.DecodeException;
import io.vertx.core.json.JsonObject;
import io.vertx.ext.web.Router;
import io.vertx.ext.web.RoutingContext;
import io.vertx.ext.web.handler.BodyHandler;

import org.wigeontally.schema.generated.Address;

/**
 * An emulated plain service. {@code POST /bookings} with {@code {"booking": ID}} counts
 * how often each booking ran; {@code GET /stock} may be repeated; {@code GET /ran} lists
 * the counts. {@code POST /fault?delay_ms=N&frozen=true} slows it down.
 */
public final class PlainServiceServer {

	private final Vertx vertx;

	private final Map<String, Integer> ran = new ConcurrentHashMap<>();

	private volatile long delayMs;

	private volatile boolean frozen;

	private volatile long lastStartMs;

	private PlainServiceServer(Vertx vertx) {
		this.vertx = vertx;
	}

	/**
	 * Starts a service.
	 * @param vertx the Vert.x instance to run on
	 * @param address where to listen
	 * @return the running service
	 */
	public static Future<PlainServiceServer> start(Vertx vertx, Address address) {
		PlainServiceServer service = new PlainServiceServer(vertx);
		Router router = Router.router(vertx);
		router.post().handler(BodyHandler.create(false));
		router.post("/bookings").handler(service::book);
		router.get("/stock").handler((context) -> service.answer(context, new JsonObject().put("pellets", 7)));
		router.get("/ran").handler((context) -> context.json(service.counts()));
		router.get("/load").handler(service::load);
		router.post("/fault").handler(service::fault);
		Future<HttpServer> listening = vertx.createHttpServer()
			.requestHandler(router)
			.listen(address.getPort(), address.getIp());
		return listening.map(service);
	}

	private void book(RoutingContext context) {
		String booking;
		try {
			booking = context.body().asJsonObject().getString("booking");
		}
		catch (DecodeException | NullPointerException ex) {
			context.response().setStatusCode(400).end("not a booking");
			return;
		}
		this.lastStartMs = System.currentTimeMillis();
		int count = this.ran.merge(booking, 1, Integer::sum);
		answer(context, new JsonObject().put("booking", booking).put("ran", count));
	}

	private void answer(RoutingContext context, JsonObject answer) {
		if (this.frozen) {
			this.vertx.setTimer(50, (id) -> answer(context, answer));
			return;
		}
		if (this.delayMs == 0) {
			context.json(answer);
			return;
		}
		this.vertx.setTimer(this.delayMs, (id) -> context.json(answer));
	}

	private void load(RoutingContext context) {
		if (!this.frozen) {
			context.json(new JsonObject().put("running", 0));
		}
	}

	private void fault(RoutingContext context) {
		if (context.request().getParam("delay_ms") != null) {
			this.delayMs = Long.parseLong(context.request().getParam("delay_ms"));
		}
		if (context.request().getParam("frozen") != null) {
			this.frozen = Boolean.parseBoolean(context.request().getParam("frozen"));
		}
		context.response().end();
	}

	private JsonObject counts() {
		JsonObject counts = new JsonObject();
		this.ran.forEach(counts::put);
		return counts;
	}

	/**
	 * Returns how often each booking ran.
	 * @return counts by booking, a copy
	 */
	public Map<String, Integer> ran() {
		return Map.copyOf(this.ran);
	}

	/**
	 * Returns when the last booking started.
	 * @return milliseconds since 1970; 0 for never
	 */
	public long lastStartMs() {
		return this.lastStartMs;
	}

}
