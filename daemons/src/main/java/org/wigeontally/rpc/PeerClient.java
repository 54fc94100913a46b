package org.wigeontally.rpc;

import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.http.Http2Settings;
import io.vertx.core.http.HttpClientOptions;
import io.vertx.core.http.HttpVersion;
import io.vertx.core.net.SocketAddress;
import io.vertx.grpc.client.GrpcClient;
import io.vertx.grpc.client.GrpcClientOptions;
import io.vertx.grpc.client.GrpcClientRequest;
import io.vertx.grpc.client.GrpcClientResponse;
import io.vertx.grpc.common.ServiceMethod;

import org.wigeontally.schema.generated.Address;

/**
 * Client for unary gRPC calls, over one HTTP/2 connection to each peer. A connection can
 * stop responding without being closed, so one on which responses are overdue is closed,
 * and the next call opens a new one.
 */
public final class PeerClient {

	/**
	 * Bytes of responses that a peer may send before the first ones are processed. Larger
	 * than a response, so that none waits for the receiver within it.
	 */
	private static final int WINDOW_BYTES = 512 * 1024;

	private final GrpcClient client;

	private final long timeoutMs;

	private PeerClient(GrpcClient client, long timeoutMs) {
		this.client = client;
		this.timeoutMs = timeoutMs;
	}

	/**
	 * Creates a client.
	 * @param vertx the Vert.x instance to run on
	 * @param metricsName name of the client's metrics; empty for none
	 * @param timeoutMs timeout for connecting and for a response
	 * @param messageLimitBytes maximum size of a message
	 * @return the client
	 */
	public static PeerClient create(Vertx vertx, String metricsName, long timeoutMs, long messageLimitBytes) {
		HttpClientOptions options = new HttpClientOptions().setProtocolVersion(HttpVersion.HTTP_2)
			.setHttp2ClearTextUpgrade(false)
			.setHttp2ConnectionWindowSize(WINDOW_BYTES)
			.setInitialSettings(new Http2Settings().setInitialWindowSize(WINDOW_BYTES))
			.setConnectTimeout((int) timeoutMs)
			.setMetricsName(metricsName);
		GrpcClientOptions limits = new GrpcClientOptions().setMaxMessageSize(messageLimitBytes);
		return new PeerClient(GrpcClient.client(vertx, limits, options), timeoutMs);
	}

	/**
	 * Calls a peer.
	 * @param <Q> type of the request message
	 * @param <A> type of the response message
	 * @param peer address of the peer
	 * @param method the method to call
	 * @param message the request message
	 * @param closeOnFailure called after a failed or overdue response; returns true to
	 * close the connection
	 * @return the response message
	 */
	public <Q, A> Future<A> call(Address peer, ServiceMethod<A, Q> method, Q message, BooleanSupplier closeOnFailure) {
		// Runs within compose, so that a closed client fails the future instead of
		// throwing.
		return Future.succeededFuture()
			.compose((start) -> open(peer, method))
			.compose((request) -> send(request, message, closeOnFailure));
	}

	// A peer that is paused accepts connections and does not answer on them.
	private <Q, A> Future<GrpcClientRequest<Q, A>> open(Address peer, ServiceMethod<A, Q> method) {
		Future<GrpcClientRequest<Q, A>> opened = this.client.request(socketAddress(peer), method);
		return opened.timeout(this.timeoutMs, TimeUnit.MILLISECONDS)
			.onFailure((failure) -> opened.onSuccess(GrpcClientRequest::cancel));
	}

	private <Q, A> Future<A> send(GrpcClientRequest<Q, A> request, Q message, BooleanSupplier closeOnFailure) {
		Future<GrpcClientResponse<Q, A>> begunResponse = request.end(message).compose((sent) -> request.response());
		return begunResponse.compose((response) -> response.last())
			.timeout(this.timeoutMs, TimeUnit.MILLISECONDS)
			.onFailure((failure) -> {
				if (closeOnFailure.getAsBoolean()) {
					request.connection().close();
				}
				else if (begunResponse.succeeded()) {
					// The rest of the response would delay those of later calls. A call
					// without a response is not cancelled: its request may still be on
					// its way, or the peer about to respond.
					request.cancel();
				}
			});
	}

	/**
	 * Converts an address to that of Vert.x.
	 * @param address the address
	 * @return the Vert.x address
	 */
	public static SocketAddress socketAddress(Address address) {
		return SocketAddress.inetSocketAddress(address.getPort(), address.getIp());
	}

	/**
	 * Closes all connections.
	 * @return completes when they are closed
	 */
	public Future<Void> close() {
		return this.client.close();
	}

}
