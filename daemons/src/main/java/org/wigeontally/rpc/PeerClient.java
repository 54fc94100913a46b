package org.wigeontally.rpc;

import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.http.HttpClientOptions;
import io.vertx.core.http.HttpVersion;
import io.vertx.core.net.SocketAddress;
import io.vertx.grpc.client.GrpcClient;
import io.vertx.grpc.client.GrpcClientOptions;
import io.vertx.grpc.client.GrpcClientRequest;
import io.vertx.grpc.common.ServiceMethod;

import org.wigeontally.schema.generated.Address;

/**
 * Calls with one message each way, over one HTTP/2 connection to each peer. A connection
 * may have fallen silent for good, so one on which answers are overdue is closed, and the
 * next call begins on a new one.
 */
public final class PeerClient {

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
	 * @param timeoutMs longest time for a connection and for an answer
	 * @param messageLimitBytes longest message
	 * @return the client
	 */
	public static PeerClient create(Vertx vertx, String metricsName, long timeoutMs, long messageLimitBytes) {
		HttpClientOptions options = new HttpClientOptions().setProtocolVersion(HttpVersion.HTTP_2)
			.setHttp2ClearTextUpgrade(false)
			.setConnectTimeout((int) timeoutMs)
			.setMetricsName(metricsName);
		GrpcClientOptions limits = new GrpcClientOptions().setMaxMessageSize(messageLimitBytes);
		return new PeerClient(GrpcClient.client(vertx, limits, options), timeoutMs);
	}

	/**
	 * Calls a peer.
	 * @param <Q> type of the question
	 * @param <A> type of the answer
	 * @param peer where it listens
	 * @param method the method
	 * @param message the message
	 * @param closeOnFailure asked after an answer that did not come; true to close the
	 * connection
	 * @return the answer
	 */
	public <Q, A> Future<A> call(Address peer, ServiceMethod<A, Q> method, Q message, BooleanSupplier closeOnFailure) {
		// Within compose, so that a closed client fails the future and throws nothing.
		return Future.succeededFuture()
			.compose((start) -> this.client.request(socketAddress(peer), method))
			.compose((request) -> send(request, message, closeOnFailure));
	}

	private <Q, A> Future<A> send(GrpcClientRequest<Q, A> request, Q message, BooleanSupplier closeOnFailure) {
		return request.end(message)
			.compose((sent) -> request.response())
			.compose((response) -> response.last())
			.timeout(this.timeoutMs, TimeUnit.MILLISECONDS)
			.onFailure((failure) -> {
				if (closeOnFailure.getAsBoolean()) {
					request.connection().close();
				}
			});
	}

	/**
	 * Converts an address.
	 * @param address the address
	 * @return the same for Vert.x
	 */
	public static SocketAddress socketAddress(Address address) {
		return SocketAddress.inetSocketAddress(address.getPort(), address.getIp());
	}

	/**
	 * Closes all connections.
	 * @return ends when they are closed
	 */
	public Future<Void> close() {
		return this.client.close();
	}

}
