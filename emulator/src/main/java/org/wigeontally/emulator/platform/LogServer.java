package org.wigeontally.emulator.platform;

import com.google.protobuf.InvalidProtocolBufferException;
import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpServer;
import io.vertx.core.http.HttpServerRequest;
import io.vertx.ext.web.Router;
import io.vertx.ext.web.RoutingContext;
import io.vertx.ext.web.handler.BodyHandler;

import org.wigeontally.log.LogPage;
import org.wigeontally.schema.generated.Address;
import org.wigeontally.schema.generated.LogRecord;
import org.wigeontally.schema.generated.RecordPage;

/**
 * Serves a {@link MemoryLog} over HTTP. {@code POST /fault?outage=true&lost=0.1&stale=3}
 * brings faults about.
 */
public final class LogServer {

	private final MemoryLog log;

	private LogServer(MemoryLog log) {
		this.log = log;
	}

	/**
	 * Starts the server.
	 * @param vertx the Vert.x instance to run on
	 * @param address where to listen
	 * @param log the log to serve
	 * @return the running server
	 */
	public static Future<HttpServer> start(Vertx vertx, Address address, MemoryLog log) {
		LogServer server = new LogServer(log);
		Router router = Router.router(vertx);
		router.post().handler(BodyHandler.create(false));
		router.post("/streams/:name").handler(server::append);
		router.get("/streams/:name").handler(server::read);
		router.post("/fault").handler(server::fault);
		return vertx.createHttpServer().requestHandler(router).listen(address.getPort(), address.getIp());
	}

	private void append(RoutingContext context) {
		LogRecord record;
		try {
			record = LogRecord.parseFrom(context.body().buffer().getBytes());
		}
		catch (InvalidProtocolBufferException ex) {
			context.response().setStatusCode(400).end(ex.getMessage());
			return;
		}
		this.log.append(context.pathParam("name"), record).whenComplete((offset, failure) -> {
			if (failure != null) {
				context.response().setStatusCode(503).end(failure.getMessage());
				return;
			}
			context.response().end(Long.toString(offset));
		});
	}

	private void read(RoutingContext context) {
		HttpServerRequest request = context.request();
		long from = Long.parseLong(request.getParam("from"));
		int most = Integer.parseInt(request.getParam("most"));
		long waitMs = Long.parseLong(request.getParam("wait_ms"));
		this.log.read(context.pathParam("name"), from, most, waitMs).whenComplete((page, failure) -> {
			if (failure != null) {
				context.response().setStatusCode(503).end(failure.getMessage());
				return;
			}
			context.response().end(Buffer.buffer(message(page).toByteArray()));
		});
	}

	private static RecordPage message(LogPage page) {
		return RecordPage.newBuilder()
			.addAllRecords(page.records())
			.setOldest(page.oldest())
			.setHead(page.head())
			.build();
	}

	private void fault(RoutingContext context) {
		HttpServerRequest request = context.request();
		if (request.getParam("outage") != null) {
			this.log.outage(Boolean.parseBoolean(request.getParam("outage")));
		}
		if (request.getParam("lost") != null) {
			this.log.lostReplies(Double.parseDouble(request.getParam("lost")));
		}
		if (request.getParam("stale") != null) {
			this.log.staleBy(Integer.parseInt(request.getParam("stale")));
		}
		if (request.getParam("retention_ms") != null) {
			this.log.retentionMs(Long.parseLong(request.getParam("retention_ms")));
		}
		context.response().end();
	}

}
