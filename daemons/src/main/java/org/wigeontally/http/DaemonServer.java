package org.wigeontally.http;

import io.vertx.core.Future;
import io.vertx.core.Handler;
import io.vertx.core.Vertx;
import io.vertx.core.http.HttpServer;
import io.vertx.core.http.HttpServerOptions;
import io.vertx.core.http.HttpServerRequest;

import org.wigeontally.schema.generated.Address;

/**
 * HTTP server of a daemon. Passes gRPC requests and all other requests to separate
 * handlers.
 */
public final class DaemonServer {

	private static final int MAX_HEADER_BYTES = 16 * 1024;

	private static final int MAX_INITIAL_LINE_BYTES = 8 * 1024;

	private static final int IDLE_TIMEOUT_S = 120;

	private DaemonServer() {
	}

	/**
	 * Starts the server.
	 * @param vertx the Vert.x instance to run on
	 * @param address address to listen on
	 * @param grpcHandler handles gRPC requests
	 * @param httpHandler handles all other requests
	 * @return the listening server
	 */
	public static Future<HttpServer> start(Vertx vertx, Address address, Handler<HttpServerRequest> grpcHandler,
			Handler<HttpServerRequest> httpHandler) {
		HttpServerOptions options = new HttpServerOptions().setTcpNoDelay(true)
			.setMaxHeaderSize(MAX_HEADER_BYTES)
			.setMaxInitialLineLength(MAX_INITIAL_LINE_BYTES)
			.setIdleTimeout(IDLE_TIMEOUT_S)
			.setReuseAddress(true);
		return vertx.createHttpServer(options).requestHandler((request) -> {
			if (isGrpc(request)) {
				grpcHandler.handle(request);
			}
			else {
				httpHandler.handle(request);
			}
		}).listen(address.getPort(), address.getIp());
	}

	private static boolean isGrpc(HttpServerRequest request) {
		String type = request.getHeader("Content-Type");
		return type != null && type.startsWith("application/grpc");
	}

}
