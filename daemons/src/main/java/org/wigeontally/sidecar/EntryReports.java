package org.wigeontally.sidecar;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Supplier;

import com.google.protobuf.InvalidProtocolBufferException;
import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.datagram.DatagramSocket;

import org.wigeontally.eventlog.EventLog;
import org.wigeontally.eventlog.LogEvent;
import org.wigeontally.misc.Clock;
import org.wigeontally.rpc.PeerClient;
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

	/**
	 * Entries that are called at a time. All have the same news but for some hundred
	 * milliseconds, and loads reach all of them as datagrams.
	 */
	private static final int CALLS_AT_ONCE = 2;

	private static final int FAILURES_UNTIL_PAUSE = 3;

	private static final long PAUSE_MS = 1_500;

	/** Failures after which an entry that others do not name is forgotten. */
	private static final int FAILURES_UNTIL_FORGOTTEN = 30;

	private static final long MESSAGE_LIMIT_BYTES = 1 << 20;

	private final Clock clock;

	private final EventLog log;

	private final FleetView view;

	private final PeerClient calls;

	private final DatagramSocket datagrams;

	private final int entryPort;

	private final Address self;

	private final Map<String, Target> targets = new LinkedHashMap<>();

	private Runnable onNamed = () -> {
	};

	private long noticedVersion;

	EntryReports(Vertx vertx, Clock clock, EventLog log, FleetView view, Address self) {
		this.clock = clock;
		this.log = log;
		this.view = view;
		this.self = self;
		// The same port on all hosts.
		this.entryPort = self.getPort();
		this.datagrams = vertx.createDatagramSocket();
		this.calls = PeerClient.create(vertx, "", TIMEOUT_MS, MESSAGE_LIMIT_BYTES);
	}

	void onNamed(Runnable action) {
		this.onNamed = action;
	}

	/**
	 * Listens for notices of new versions.
	 * @param status gives the current state, for the call that follows a notice
	 * @return ends once the port is bound
	 */
	Future<Void> listen(Supplier<EngineStatus.Builder> status) {
		this.datagrams.handler((packet) -> {
			try {
				noticed(AgentBriefing.parseFrom(packet.data().getBytes()), status);
			}
			catch (InvalidProtocolBufferException ex) {
				this.log.write(LogEvent.FAULT, "datagram-from", packet.sender(), "reason", ex.getMessage());
			}
		});
		return this.datagrams.listen(this.self.getPort(), this.self.getIp()).mapEmpty();
	}

	// All entries send a notice; the first one that gives it is asked. If it does not
	// answer, the next calls find out.
	private void noticed(AgentBriefing notice, Supplier<EngineStatus.Builder> status) {
		if (notice.getVersion() <= Math.max(this.noticedVersion, this.view.briefing().getVersion())
				|| notice.getEntriesCount() == 0) {
			return;
		}
		Target target = this.targets.get(Addresses.format(notice.getEntries(0)));
		if (target == null || target.open) {
			return;
		}
		this.noticedVersion = notice.getVersion();
		send(target, status.get().setBriefingDigest(target.digest).build());
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
	 * Calls entries for their briefings: those that have not answered so far, and of the
	 * others the ones that were called longest ago.
	 * @param status the state
	 */
	void call(EngineStatus.Builder status) {
		long nowMs = this.clock.monotonicMs();
		List<Target> due = new ArrayList<>();
		for (Target target : this.targets.values()) {
			if (!target.open && nowMs >= target.nextTryMs) {
				due.add(target);
			}
		}
		due.sort(Comparator.comparingLong((target) -> target.calledAtMs));
		int answering = 0;
		for (Target target : due) {
			boolean answers = target.heard && target.failures == 0;
			if (answers && ++answering > CALLS_AT_ONCE) {
				continue;
			}
			send(target, status.setBriefingDigest(target.digest).build());
		}
	}

	private void send(Target target, EngineStatus status) {
		target.open = true;
		target.calledAtMs = this.clock.monotonicMs();
		this.calls.call(target.address, FleetGrpcClient.Report, status, () -> target.failures + 1 >= OVERDUE_LIMIT)
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

	void close() {
		this.datagrams.close();
		this.calls.close();
	}

	private static final class Target {

		private final Address address;

		private boolean open;

		private boolean heard;

		private int failures;

		private long nextTryMs = Long.MIN_VALUE;

		private long calledAtMs = Long.MIN_VALUE;

		private long digest;

		private Target(Address address) {
			this.address = address;
		}

	}

}
