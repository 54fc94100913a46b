package org.wigeontally.emulator.platform;

import java.util.Map;
import java.util.TreeMap;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.http.HttpServer;
import io.vertx.core.http.HttpServerRequest;
import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;
import io.vertx.ext.web.Router;
import io.vertx.ext.web.RoutingContext;

import org.wigeontally.schema.generated.Address;

/**
 * The platform's list of hosts. {@code POST /hosts?host=H&address=A&role=R&leaving=B}
 * sets a host, {@code POST /hosts?host=H&gone=true} removes it; {@code GET /hosts} shows
 * both only after the lag. Runs on one event loop.
 */
public final class HostListServer {

	private final Vertx vertx;

	private final long lagMs;

	private final Map<String, JsonObject> shown = new TreeMap<>();

	private HostListServer(Vertx vertx, long lagMs) {
		this.vertx = vertx;
		this.lagMs = lagMs;
	}

	/**
	 * Starts the server with an empty list.
	 * @param vertx the Vert.x instance to run on
	 * @param address where to listen
	 * @param lagMs time until a change shows, in milliseconds, at least 1
	 * @return the running server
	 */
	public static Future<HttpServer> start(Vertx vertx, Address address, long lagMs) {
		HostListServer list = new HostListServer(vertx, lagMs);
		Router router = Router.router(vertx);
		router.get("/hosts").handler(list::show);
		router.post("/hosts").handler(list::change);
		return vertx.createHttpServer().requestHandler(router).listen(address.getPort(), address.getIp());
	}

	private void show(RoutingContext context) {
		JsonArray hosts = new JsonArray();
		this.shown.values().forEach(hosts::add);
		context.json(new JsonObject().put("hosts", hosts));
	}

	private void change(RoutingContext context) {
		HttpServerRequest request = context.request();
		String host = request.getParam("host");
		boolean gone = Boolean.parseBoolean(request.getParam("gone"));
		JsonObject row = new JsonObject().put("host", host)
			.put("address", request.getParam("address"))
			.put("role", request.getParam("role"))
			.put("leaving", Boolean.parseBoolean(request.getParam("leaving")));
		this.vertx.setTimer(Math.max(1, this.lagMs), (id) -> {
			if (gone) {
				this.shown.remove(host);
			}
			else {
				this.shown.put(host, row);
			}
		});
		context.response().end();
	}

}
