package org.wigeontally.gateway;

import org.wigeontally.eventlog.LogEvent;
import org.wigeontally.limits.Permit;
import org.wigeontally.limits.PermitGrant;
import org.wigeontally.limits.PermitQueue;
import org.wigeontally.rpc.ConsecutiveFailures;
import org.wigeontally.rpc.PeerClient;
import org.wigeontally.schema.generated.Address;
import org.wigeontally.schema.generated.EntryNews;
import org.wigeontally.schema.generated.FleetGrpcClient;
import org.wigeontally.schema.generated.PermitReply;
import org.wigeontally.schema.generated.PermitRequest;
import org.wigeontally.settings.Addresses;

/**
 * Acquires permits for requests to limited backend servers from the entries that
 * coordinate these. Requests to other backend servers need none. Runs on the event loop.
 */
final class PermitClient {

	private static final long MESSAGE_LIMIT_BYTES = 64 * 1024;

	/** Consecutive failures after which the connection is closed. */
	private static final int MAX_CONSECUTIVE_FAILURES = 2;

	private final GatewayContext context;

	private final PermitServer server;

	private final PeerClient client;

	private final ConsecutiveFailures failures = ConsecutiveFailures.create(MAX_CONSECUTIVE_FAILURES);

	PermitClient(GatewayContext context, PermitServer server) {
		this.context = context;
		this.server = server;
		this.client = PeerClient.create(context.vertx(), "", PermitQueue.INQUIRY_TIMEOUT_MS, MESSAGE_LIMIT_BYTES);
	}

	/**
	 * Acquires a permit for one request.
	 * @param backend the limited backend server
	 * @param waiter receives the outcome, possibly at once
	 */
	void acquire(Backend backend, PermitQueue.Waiter waiter) {
		backend.permits().add(waiter);
		ask(backend);
	}

	private void ask(Backend backend) {
		int count = backend.permits().beginInquiry(this.context.nowMs());
		if (count == 0) {
			return;
		}
		PermitRequest request = PermitRequest.newBuilder()
			.setEntry(this.context.settings().getControl())
			.setBackend(this.context.limits().toNews(backend))
			.setCount(count)
			.build();
		long askedAtMs = this.context.nowMs();
		EntryNews coordinator = this.server.coordinator(backend);
		if (this.server.isCoordinator(coordinator)) {
			answered(backend, this.server.handle(request), count, "entry:self", askedAtMs);
			return;
		}
		Address peer = coordinator.getControl();
		Permit permit = Permit.askedNow(this.context.clock());
		this.client.call(peer, FleetGrpcClient.AcquirePermits, request, () -> this.failures.recordFailure(peer))
			.onSuccess((reply) -> this.failures.recordSuccess(peer))
			.onComplete((result) -> {
				if (result.failed()) {
					failed(backend, peer, result.cause().getMessage());
				}
				else if (!permit.holds(this.context.clock())) {
					failed(backend, peer, "the answer came after this process was paused");
				}
				else {
					answered(backend, result.result(), count, "entry:" + coordinator.getHost(), askedAtMs);
				}
			});
	}

	private void answered(Backend backend, PermitReply reply, int asked, String source, long askedAtMs) {
		String service = backend.record().service();
		this.context.metrics().recordPermits(service, "granted", reply.getGranted());
		this.context.metrics().recordPermits(service, "denied", asked - reply.getGranted());
		if (reply.hasBackend()) {
			this.context.limits().recordReply(reply.getBackend(), source, askedAtMs);
		}
		backend.permits().answered(new PermitGrant(reply.getGranted(), reply.getNextInMs()), this.context.nowMs());
		ask(backend);
	}

	private void failed(Backend backend, Address coordinator, String reason) {
		this.context.metrics().recordPermits(backend.record().service(), "failed", 1);
		this.context.log()
			.write(LogEvent.PERMITS_FAILED, "backend", backend.record().id(), "coordinator",
					Addresses.format(coordinator), "reason", reason);
		backend.permits().failed(this.context.nowMs());
		ask(backend);
	}

}
