package org.wigeontally.gateway;

import java.util.HashSet;
import java.util.Set;

import io.vertx.core.net.NetSocket;

import org.wigeontally.eventlog.LogEvent;
import org.wigeontally.harmful.Fingerprint;

/**
 * Distinguishes a crashed backend server from one that only lost a response. A connection
 * that is lost while a request runs may mean either. Only if a new connection cannot be
 * opened shortly afterwards is this counted as a crash, and the requests that ran there
 * are recorded as its possible cause.
 */
final class CrashDetector {

	/**
	 * Delay before the new connection. It can be short because a crashed process refuses
	 * connections immediately.
	 */
	private static final long CHECK_DELAY_MS = 30;

	private CrashDetector() {
	}

	static void checkForCrash(GatewayContext context, Backend backend) {
		Set<Fingerprint> running = new HashSet<>(backend.runningRequests().keySet());
		context.vertx().setTimer(CHECK_DELAY_MS, (id) -> backend.pool().probe().onComplete((result) -> {
			if (result.succeeded()) {
				NetSocket socket = result.result();
				socket.close();
				return;
			}
			long nowMs = context.nowMs();
			backend.health().recordConnectFailure(nowMs);
			String lossId = backend.record().id() + ":" + backend.record().processStartMs();
			context.harmfulRequests().recordBackendLoss(lossId, running);
			context.log()
				.write(LogEvent.BACKEND_CRASH, "backend", backend.record().id(), "running", running.size(), "reason",
						result.cause().getMessage());
			context.notifySuspectsChanged();
		}));
	}

}
