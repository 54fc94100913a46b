package org.wigeontally.http;

import java.util.HashSet;
import java.util.Set;

import io.vertx.core.Context;
import io.vertx.core.Future;
import io.vertx.core.Handler;
import io.vertx.core.Promise;
import io.vertx.core.Vertx;
import io.vertx.core.http.HttpConnection;
import io.vertx.core.http.HttpHeaders;
import io.vertx.core.http.HttpServer;
import io.vertx.core.http.HttpServerOptions;
import io.vertx.core.http.HttpServerRequest;
import io.vertx.core.http.HttpVersion;
import io.vertx.core.net.impl.ConnectionBase;
import io.vertx.ext.web.Router;
import io.vertx.ext.web.RoutingContext;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

import org.wigeontally.fleet.DrainSchedule;
import org.wigeontally.misc.Clock;
import org.wigeontally.schema.generated.Address;

/**
 * HTTP server of a daemon. Passes gRPC requests and all other requests to separate
 * handlers. While it is drained, each answer closes its connection, so that no client
 * sends on a connection that the server is about to close. Runs on one event loop.
 */
public final class DaemonServer implements AutoCloseable {

	private static final Logger logger = LoggerFactory.getLogger(DaemonServer.class);

	private static final int MAX_HEADER_BYTES = 16 * 1024;

	private static final int MAX_INITIAL_LINE_BYTES = 8 * 1024;

	/** Longer than clients keep an idle connection, so that they close it first. */
	private static final int IDLE_TIMEOUT_S = 120;

	private final Vertx vertx;

	private final Context eventLoop;

	private final HttpServer server;

	private final Set<HttpConnection> connections = new HashSet<>();

	private boolean draining;

	private DaemonServer(Vertx vertx, HttpServer server) {
		this.vertx = vertx;
		this.eventLoop = vertx.getOrCreateContext();
		this.server = server;
	}

	/**
	 * Starts the server.
	 * @param vertx the Vert.x instance to run on
	 * @param address address to listen on
	 * @param grpcHandler handles gRPC requests
	 * @param router handles all other requests
	 * @return the listening server
	 */
	public static Future<DaemonServer> start(Vertx vertx, Address address, Handler<HttpServerRequest> grpcHandler,
			Router router) {
		HttpServerOptions options = new HttpServerOptions().setTcpNoDelay(true)
			.setMaxHeaderSize(MAX_HEADER_BYTES)
			.setMaxInitialLineLength(MAX_INITIAL_LINE_BYTES)
			.setIdleTimeout(IDLE_TIMEOUT_S)
			.setReuseAddress(true);
		DaemonServer daemonServer = new DaemonServer(vertx, vertx.createHttpServer(options));
		router.route().order(-1).handler(daemonServer::announceClosing);
		return daemonServer.listen(address, grpcHandler, router).map(daemonServer);
	}

	private Future<HttpServer> listen(Address address, Handler<HttpServerRequest> grpcHandler, Router router) {
		Promise<HttpServer> listening = Promise.promise();
		this.eventLoop.runOnContext((v) -> this.server.connectionHandler(this::connectionOpened)
			.requestHandler((request) -> (isGrpc(request) ? grpcHandler : router).handle(request))
			.listen(address.getPort(), address.getIp())
			.onComplete(listening));
		return listening.future();
	}

	private static boolean isGrpc(HttpServerRequest request) {
		String type = request.getHeader("Content-Type");
		return type != null && type.startsWith("application/grpc");
	}

	private void connectionOpened(HttpConnection connection) {
		this.connections.add(connection);
		connection.closeHandler((v) -> this.connections.remove(connection));
	}

	// Decided when the answer begins, so that it covers requests in flight at the signal.
	private void announceClosing(RoutingContext context) {
		context.addHeadersEndHandler((v) -> {
			if (this.draining && context.request().version() != HttpVersion.HTTP_2) {
				context.response().putHeader(HttpHeaders.CONNECTION, HttpHeaders.CLOSE);
			}
		});
		context.next();
	}

	/**
	 * Drains the server: closes the port and the idle connections when this is due, and
	 * each of the others when its answer has been sent.
	 * @param noticeMs time after the signal for which connections are accepted, in
	 * milliseconds
	 * @param maxWaitMs maximum wait for requests after that, in milliseconds
	 * @param clock source of time
	 * @return completes when all connections are closed or the time is over
	 */
	public Future<Void> drain(long noticeMs, long maxWaitMs, Clock clock) {
		DrainSchedule schedule = DrainSchedule.of(clock.monotonicMs(), noticeMs, noticeMs + maxWaitMs);
		Promise<Void> drained = Promise.promise();
		this.eventLoop.runOnContext((v) -> {
			this.draining = true;
			ServerDrain.start(this.vertx, this.server, schedule, clock::monotonicMs, new DrainListener())
				.onComplete(drained);
		});
		return drained.future();
	}

	@Override
	public void close() {
		this.server.close();
	}

	/**
	 * Tells the drain what the open connections have still to send.
	 */
	private final class DrainListener implements ServerDrain.Listener {

		@Override
		public boolean hasUnsentBytes() {
			return DaemonServer.this.connections.stream()
				.anyMatch((connection) -> ChannelOutput.hasUnsentBytes(((ConnectionBase) connection).channel()));
		}

		@Override
		public void closing() {
			logger.info("server: port {} is closing, {} connections are open", DaemonServer.this.server.actualPort(),
					DaemonServer.this.connections.size());
		}

	}

}
