package org.wigeontally.control;

import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.http.HttpClientOptions;
import io.vertx.core.http.HttpVersion;
import io.vertx.core.net.SocketAddress;
import io.vertx.grpc.client.GrpcClient;
import io.vertx.grpc.client.GrpcClientOptions;
import io.vertx.grpc.client.GrpcClientRequest;

import org.wigeontally.schema.generated.Address;
import org.wigeontally.schema.generated.ControlGrpcClient;
import org.wigeontally.schema.generated.ExchangeReply;
import org.wigeontally.schema.generated.ExchangeRequest;
import org.wigeontally.settings.Addresses;

/**
 * Sends exchanges over gRPC, one HTTP/2 connection to each peer. A connection on which
 * several answers in a row are overdue is closed, so that after a cut the next exchange
 * begins on a new one. Runs on the control context.
 */
final class ExchangeClient {

	/** Longest message, in bytes; a snapshot must fit. */
	static final long MESSAGE_LIMIT_BYTES = 8 * 1024 * 1024;

	private static final long TIMEOUT_MS = 600;

	private static final int OVERDUE_LIMIT = 3;

	private final GrpcClient client;

	private final Map<String, SocketAddress> addresses = new HashMap<>();

	private final Map<String, Integer> overdue = new HashMap<>();

	ExchangeClient(Vertx vertx, String host) {
		HttpClientOptions options = new HttpClientOptions().setProtocolVersion(HttpVersion.HTTP_2)
			.setHttp2ClearTextUpgrade(false)
			.setConnectTimeout((int) TIMEOUT_MS)
			.setMetricsName("control-" + host);
		this.client = GrpcClient.client(vertx, new GrpcClientOptions().setMaxMessageSize(MESSAGE_LIMIT_BYTES), options);
	}

	Future<ExchangeReply> exchange(String address, ExchangeRequest message) {
		SocketAddress target = this.addresses.computeIfAbsent(address, ExchangeClient::socketAddress);
		// Within compose, so that a closed client fails the future and throws nothing.
		return Future.succeededFuture()
			.compose((start) -> this.client.request(target, ControlGrpcClient.Exchange))
			.compose((request) -> send(request, message, address))
			.onSuccess((reply) -> this.overdue.remove(address));
	}

	private Future<ExchangeReply> send(GrpcClientRequest<ExchangeRequest, ExchangeReply> request,
			ExchangeRequest message, String address) {
		return request.end(message)
			.compose((sent) -> request.response())
			.compose((response) -> response.last())
			.timeout(TIMEOUT_MS, TimeUnit.MILLISECONDS)
			.onFailure((failure) -> {
				if (this.overdue.merge(address, 1, Integer::sum) >= OVERDUE_LIMIT) {
					this.overdue.remove(address);
					request.connection().close();
				}
			});
	}

	private static SocketAddress socketAddress(String address) {
		Address parsed = Addresses.parse(address).orElseThrow();
		return SocketAddress.inetSocketAddress(parsed.getPort(), parsed.getIp());
	}

	Future<Void> close() {
		return this.client.close();
	}

}
