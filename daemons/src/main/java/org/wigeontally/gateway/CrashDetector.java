package org.wigeontally.gateway;

import java.util.HashSet;
import java.util.Set;

import io.vertx.core.net.NetSocket;

import org.wigeontally.eventlog.LogEvent;
import org.wigeontally.harmful.Fingerprint;

/**
 * Tells a backend server that crashed from one that lost an answer. A connection that
 * breaks while a request runs may mean either; only if no new connection can be made
 * right after it, the requests that ran there are suspected of the crash.
 */
final class CrashDetector {

	/** A crashed process refuses connections from the moment it is gone. */
	private static final long CHECK_DELAY_MS = 30;

	private CrashDetector() {
	}

	static void checkForCrash(GatewayContext context, Backend backend) {
		Set<Fingerprint> running = new HashSet<>(backend.running().keySet());
		context.vertx().setTimer(CHECK_DELAY_MS, (id) -> backend.pool().probe().onComplete((result) -> {
			if (result.succeeded()) {
				NetSocket socket = result.result();
				socket.close();
				return;
			}
			long nowMs = context.nowMs();
			backend.health().recordConnectFailure(nowMs);
			String lossId = backend.record().id() + ":" + backend.record().processStartMs();
			context.harmful().recordBackendLoss(lossId, running);
			context.log()
				.write(LogEvent.BACKEND_CRASH, "backend", backend.record().id(), "running", running.size(), "reason",
						result.cause().getMessage());
			context.suspectsChanged();
		}));
	}

}
