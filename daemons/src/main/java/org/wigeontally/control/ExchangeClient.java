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
 * Sends exchanges over gRPC, one HTTP/2 connection to each peer. A connection on which an
 * answer is overdue is closed, so that after a cut the next exchange begins on a new one.
 */
final class ExchangeClient {

	/** Longest message, in bytes; a snapshot must fit. */
	static final long MESSAGE_LIMIT_BYTES = 8 * 1024 * 1024;

	private static final long TIMEOUT_MS = 600;

	private final GrpcClient client;

	private final Map<String, SocketAddress> addresses = new HashMap<>();

	ExchangeClient(Vertx vertx, String host) {
		HttpClientOptions options = new HttpClientOptions().setProtocolVersion(HttpVersion.HTTP_2)
			.setHttp2ClearTextUpgrade(false)
			.setConnectTimeout((int) TIMEOUT_MS)
			.setMetricsName("control-" + host);
		this.client = GrpcClient.client(vertx, new GrpcClientOptions().setMaxMessageSize(MESSAGE_LIMIT_BYTES), options);
	}

	Future<ExchangeReply> exchange(String address, ExchangeRequest message) {
		SocketAddress target = this.addresses.computeIfAbsent(address, ExchangeClient::socketAddress);
		return this.client.request(target, ControlGrpcClient.Exchange).compose((request) -> send(request, message));
	}

	private static Future<ExchangeReply> send(GrpcClientRequest<ExchangeRequest, ExchangeReply> request,
			ExchangeRequest message) {
		return request.end(message)
			.compose((sent) -> request.response())
			.compose((response) -> response.last())
			.timeout(TIMEOUT_MS, TimeUnit.MILLISECONDS)
			.onFailure((failure) -> request.connection().close());
	}

	private static SocketAddress socketAddress(String address) {
		Address parsed = Addresses.parse(address).orElseThrow();
		return SocketAddress.inetSocketAddress(parsed.getPort(), parsed.getIp());
	}

	Future<Void> close() {
		return this.client.close();
	}

}
