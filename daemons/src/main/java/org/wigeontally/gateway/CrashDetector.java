package org.wigeontally.gateway;

import java.net.ConnectException;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.stream.Collectors;

import io.netty.channel.ConnectTimeoutException;
import io.vertx.core.AsyncResult;
import io.vertx.core.net.NetSocket;

import org.wigeontally.eventlog.LogEvent;

/**
 * Distinguishes a crashed backend server from one that only lost a response. A connection
 * that is lost while a request runs may mean either. Only if a new connection is refused
 * shortly afterwards is this counted as a crash, and the requests that ran there and
 * whose answers had not begun are recorded as its possible cause. Runs on the event loop.
 */
final class CrashDetector {

	/**
	 * Delay before the new connection. It can be short because a crashed process refuses
	 * connections immediately, and is long enough for the other connections of the
	 * process to be seen closed.
	 */
	private static final long CHECK_DELAY_MS = 30;

	/** Number of requests that a log line names. */
	private static final int MAX_LOGGED_REQUESTS = 12;

	private final GatewayContext context;

	private final Map<Backend, Loss> pendingLosses = new HashMap<>();

	CrashDetector(GatewayContext context) {
		this.context = context;
	}

	/**
	 * Starts a check, unless one is under way.
	 * @param backend backend server to which a connection was lost while a request ran
	 */
	void connectionLost(Backend backend) {
		if (this.pendingLosses.containsKey(backend)) {
			return;
		}
		this.pendingLosses.put(backend, new Loss(this.context.nowMs(), List.copyOf(backend.runningAttempts())));
		this.context.vertx()
			.setTimer(CHECK_DELAY_MS, (id) -> backend.pool().probe().onComplete((result) -> checked(backend, result)));
	}

	private void checked(Backend backend, AsyncResult<NetSocket> result) {
		Loss loss = this.pendingLosses.remove(backend);
		if (result.succeeded()) {
			result.result().close();
			loss.attempts().forEach(BackendAttempt::endTrial);
			return;
		}
		backend.health().recordConnectFailure(this.context.nowMs());
		if (!isRefused(result.cause())) {
			this.context.log()
				.write(LogEvent.BACKEND, "backend", backend.record().id(), "unreachable", true, "reason",
						result.cause().getMessage());
			loss.attempts().forEach(BackendAttempt::endTrial);
			return;
		}
		String lossId = backend.record().id() + ":" + backend.record().processStartMs();
		List<BackendAttempt> suspects = loss.attempts()
			.stream()
			.filter((attempt) -> !attempt.hasBegunAnswer())
			.toList();
		this.context.harmfulRequests()
			.recordBackendLoss(lossId, suspects.stream().map(BackendAttempt::fingerprint).collect(Collectors.toSet()));
		this.context.harmfulParts()
			.backendLost(lossId, loss.atMs(), suspects.stream().map(BackendAttempt::toSuspect).toList());
		this.context.metrics().recordBackendCrash(backend.record().service());
		logCrash(backend, loss.attempts(), result.cause());
		this.context.tellOtherEntries();
	}

	// A host that cannot be reached lets the connection time out; the link or the host
	// may
	// be at fault.
	private static boolean isRefused(Throwable cause) {
		return cause instanceof ConnectException && !(cause instanceof ConnectTimeoutException);
	}

	private void logCrash(Backend backend, Collection<BackendAttempt> running, Throwable cause) {
		String requests = running.stream()
			.limit(MAX_LOGGED_REQUESTS)
			.map(BackendAttempt::describe)
			.collect(Collectors.joining(" "));
		this.context.log()
			.write(LogEvent.BACKEND_CRASH, "backend", backend.record().id(), "running", running.size(), "requests",
					requests, "reason", cause.getMessage());
	}

	private record Loss(long atMs, List<BackendAttempt> attempts) {

	}

}
