package org.wigeontally.sidecar;

import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.datagram.DatagramSocket;
import io.vertx.core.http.HttpClientOptions;
import io.vertx.core.http.HttpVersion;
import io.vertx.core.net.SocketAddress;
import io.vertx.grpc.client.GrpcClient;
import io.vertx.grpc.client.GrpcClientOptions;
import io.vertx.grpc.client.GrpcClientRequest;

import org.wigeontally.eventlog.EventLog;
import org.wigeontally.eventlog.LogEvent;
import org.wigeontally.misc.Clock;
import org.wigeontally.schema.generated.Address;
import org.wigeontally.schema.generated.AgentBriefing;
import org.wigeontally.schema.generated.EngineStatus;
import org.wigeontally.schema.generated.FleetGrpcClient;
import org.wigeontally.settings.Addresses;

/**
 * Reports the engine's state to every entry and takes their briefings. Entries are known
 * from settings, from the store and from each other; those that do not answer are tried
 * less often. Runs on the event loop.
 */
final class EntryReports {

	private static final long TIMEOUT_MS = 600;

	private static final int OVERDUE_LIMIT = 2;

	private static final int FAILURES_UNTIL_PAUSE = 3;

	private static final long PAUSE_MS = 1_500;

	/** Failures after which an entry that others do not name is forgotten. */
	private static final int FAILURES_UNTIL_FORGOTTEN = 30;

	private static final long MESSAGE_LIMIT_BYTES = 1 << 20;

	private final Clock clock;

	private final EventLog log;

	private final FleetView view;

	private final GrpcClient client;

	private final DatagramSocket datagrams;

	private final int entryPort;

	private final Map<String, Target> targets = new LinkedHashMap<>();

	private Runnable onNamed = () -> {
	};

	EntryReports(Vertx vertx, Clock clock, EventLog log, FleetView view, int entryPort) {
		this.clock = clock;
		this.log = log;
		this.view = view;
		this.entryPort = entryPort;
		this.datagrams = vertx.createDatagramSocket();
		HttpClientOptions options = new HttpClientOptions().setProtocolVersion(HttpVersion.HTTP_2)
			.setHttp2ClearTextUpgrade(false)
			.setConnectTimeout((int) TIMEOUT_MS);
		this.client = GrpcClient.client(vertx, new GrpcClientOptions().setMaxMessageSize(MESSAGE_LIMIT_BYTES), options);
	}

	void onNamed(Runnable action) {
		this.onNamed = action;
	}

	void know(Address entry) {
		this.targets.computeIfAbsent(Addresses.format(entry), (key) -> new Target(entry));
	}

	/**
	 * Returns the entries that are reported to.
	 * @return the number
	 */
	int count() {
		return this.targets.size();
	}

	boolean hearsAny() {
		return this.targets.values().stream().anyMatch((target) -> target.heard && target.failures == 0);
	}

	/**
	 * Sends the state to all entries that were heard of, without an answer. A datagram
	 * costs a small part of a call; one that is lost is made up for by the next.
	 * @param status the state
	 */
	void tell(EngineStatus status) {
		Buffer bytes = Buffer.buffer(status.toByteArray());
		for (Target target : this.targets.values()) {
			if (target.heard && target.failures == 0) {
				this.datagrams.send(bytes, this.entryPort, target.address.getIp());
			}
		}
	}

	/**
	 * Calls all entries that have answered the last call, for their briefings.
	 * @param status the state
	 */
	void call(EngineStatus.Builder status) {
		long nowMs = this.clock.monotonicMs();
		for (Target target : new HashMap<>(this.targets).values()) {
			if (!target.open && nowMs >= target.nextTryMs) {
				send(target, status.setBriefingDigest(target.digest).build());
			}
		}
	}

	private void send(Target target, EngineStatus status) {
		target.open = true;
		SocketAddress address = SocketAddress.inetSocketAddress(target.address.getPort(), target.address.getIp());
		Future.succeededFuture()
			.compose((start) -> this.client.request(address, FleetGrpcClient.Report))
			.compose((request) -> send(target, request, status))
			.onComplete((result) -> {
				target.open = false;
				if (result.succeeded()) {
					answered(target, result.result());
				}
				else {
					failed(target, result.cause());
				}
			});
	}

	private Future<AgentBriefing> send(Target target, GrpcClientRequest<EngineStatus, AgentBriefing> request,
			EngineStatus status) {
		return request.end(status)
			.compose((sent) -> request.response())
			.compose((response) -> response.last())
			.timeout(TIMEOUT_MS, TimeUnit.MILLISECONDS)
			.onFailure((failure) -> {
				if (target.failures + 1 >= OVERDUE_LIMIT) {
					request.connection().close();
				}
			});
	}

	private void answered(Target target, AgentBriefing briefing) {
		if (target.failures > 0 || !target.heard) {
			this.log.write(LogEvent.PEER, "entry", Addresses.format(target.address), "heard", true);
		}
		target.failures = 0;
		target.heard = true;
		if (briefing.getUnchanged()) {
			return;
		}
		target.digest = briefing.getDigest();
		briefing.getEntriesList().forEach(this::know);
		if (this.view.take(briefing, this.clock.monotonicMs())) {
			this.log.write(LogEvent.VERSION, "model", briefing.getModel(), "version", briefing.getVersion(), "source",
					Addresses.format(target.address));
			this.onNamed.run();
		}
	}

	private void failed(Target target, Throwable cause) {
		target.failures++;
		target.digest = 0;
		if (target.failures == 2) {
			this.log.write(LogEvent.PEER, "entry", Addresses.format(target.address), "heard", false, "reason",
					cause.getMessage());
		}
		if (target.failures >= FAILURES_UNTIL_PAUSE) {
			target.nextTryMs = this.clock.monotonicMs() + PAUSE_MS;
		}
		if (target.failures > FAILURES_UNTIL_FORGOTTEN) {
			this.targets.remove(Addresses.format(target.address));
		}
	}

	private static final class Target {

		private final Address address;

		private boolean open;

		private boolean heard;

		private int failures;

		private long nextTryMs = Long.MIN_VALUE;

		private long digest;

		private Target(Address address) {
			this.address = address;
		}

	}

}
