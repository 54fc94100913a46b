package org.wigeontally.control;

import java.util.HashMap;
import java.util.Map;

import io.vertx.core.Future;
import io.vertx.core.Vertx;

import org.wigeontally.rpc.ConsecutiveFailures;
import org.wigeontally.rpc.PeerClient;
import org.wigeontally.schema.generated.Address;
import org.wigeontally.schema.generated.ControlGrpcClient;
import org.wigeontally.schema.generated.ExchangeReply;
import org.wigeontally.schema.generated.ExchangeRequest;
import org.wigeontally.settings.Addresses;

/**
 * Sends exchanges over gRPC. A connection on which several answers in a row are overdue
 * is closed, so that after a cut the next exchange begins on a new one. Runs on the
 * control context.
 */
final class ExchangeClient {

	/** Maximum size of a message; a configuration snapshot must fit. */
	static final long MAX_MESSAGE_BYTES = 8 * 1024 * 1024;

	private static final long TIMEOUT_MS = 600;

	private static final int MAX_OVERDUE_ANSWERS = 3;

	private final PeerClient calls;

	private final Map<String, Address> addresses = new HashMap<>();

	private final ConsecutiveFailures overdueAnswers = ConsecutiveFailures.create(MAX_OVERDUE_ANSWERS);

	ExchangeClient(Vertx vertx, String host) {
		this.calls = PeerClient.create(vertx, "control-" + host, TIMEOUT_MS, MAX_MESSAGE_BYTES);
	}

	Future<ExchangeReply> exchange(String address, ExchangeRequest message) {
		Address peer = this.addresses.computeIfAbsent(address, (text) -> Addresses.parse(text).orElseThrow());
		return this.calls.call(peer, ControlGrpcClient.Exchange, message, () -> this.overdueAnswers.recordFailure(peer))
			.onSuccess((reply) -> this.overdueAnswers.recordSuccess(peer));
	}

	Future<Void> close() {
		return this.calls.close();
	}

}
