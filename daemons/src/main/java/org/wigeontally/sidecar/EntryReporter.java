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
import org.wigeontally.fleet.EntryCallBackoff;
import org.wigeontally.misc.Clock;
import org.wigeontally.rpc.PeerClient;
import org.wigeontally.schema.generated.Address;
import org.wigeontally.schema.generated.AgentBriefing;
import org.wigeontally.schema.generated.EngineStatus;
import org.wigeontally.schema.generated.EntryPlace;
import org.wigeontally.schema.generated.FleetGrpcClient;
import org.wigeontally.settings.Addresses;

/**
 * Reports the engine's state to the entries and requests briefings from them. Entries of
 * the own region, which place most of the engine's requests, get more reports than
 * others. Addresses of entries come from the settings, from the store and from briefings.
 * Entries that do not answer are called less often and finally removed. Runs on the event
 * loop.
 */
final class EntryReporter {

	private static final long CALL_TIMEOUT_MS = 600;

	/** Failed calls in a row after which the connection to an entry is closed. */
	private static final int MAX_CONSECUTIVE_FAILURES = 2;

	/**
	 * Responding entries that are called in each round. A few are enough, because the
	 * entries' briefings differ only by some hundred milliseconds of age, and all entries
	 * receive the engine's load as datagrams.
	 */
	private static final int MAX_CALLS_PER_ROUND = 2;

	/**
	 * Failures in a row after which an entry is removed. It is added again if another
	 * entry names it.
	 */
	private static final int FAILURES_BEFORE_REMOVAL = 30;

	private static final long MAX_MESSAGE_BYTES = 1 << 20;

	private final Clock clock;

	private final EventLog log;

	private final FleetView view;

	private final PeerClient client;

	private final DatagramSocket datagrams;

	private final int entryPort;

	private final String ownRegion;

	private final Address ownAddress;

	private final Map<String, EntryConnection> connections = new LinkedHashMap<>();

	private Runnable onBriefing = () -> {
	};

	private long lastNoticeVersion;

	EntryReporter(Vertx vertx, Clock clock, EventLog log, FleetView view, Address ownAddress, String ownRegion) {
		this.clock = clock;
		this.log = log;
		this.view = view;
		this.ownAddress = ownAddress;
		this.ownRegion = ownRegion;
		// Entries listen on the same port number as this agent.
		this.entryPort = ownAddress.getPort();
		this.datagrams = vertx.createDatagramSocket();
		this.client = PeerClient.create(vertx, "", CALL_TIMEOUT_MS, MAX_MESSAGE_BYTES);
	}

	void onBriefing(Runnable action) {
		this.onBriefing = action;
	}

	/**
	 * Listens for notices of new versions.
	 * @param status supplies the current status for the call that follows a notice
	 * @return completes when the port is bound
	 */
	Future<Void> listen(Supplier<EngineStatus.Builder> status) {
		this.datagrams.handler((packet) -> {
			try {
				handleNotice(AgentBriefing.parseFrom(packet.data().getBytes()), status);
			}
			catch (InvalidProtocolBufferException ex) {
				this.log.write(LogEvent.FAULT, "datagram-from", packet.sender(), "reason", ex.getMessage());
			}
		});
		return this.datagrams.listen(this.ownAddress.getPort(), this.ownAddress.getIp()).mapEmpty();
	}

	// All entries send a notice of a new version. Only the sender of the first notice is
	// called. If that call fails, the next periodic calls fetch the briefing.
	private void handleNotice(AgentBriefing notice, Supplier<EngineStatus.Builder> status) {
		if (notice.getVersion() <= Math.max(this.lastNoticeVersion, this.view.briefing().getVersion())
				|| notice.getEntriesCount() == 0) {
			return;
		}
		EntryConnection connection = this.connections.get(Addresses.format(notice.getEntries(0)));
		if (connection == null || connection.callInProgress) {
			return;
		}
		this.lastNoticeVersion = notice.getVersion();
		requestBriefing(connection, status.get().setBriefingDigest(connection.briefingDigest).build());
	}

	void addEntry(Address entry) {
		this.connections.computeIfAbsent(Addresses.format(entry), (key) -> new EntryConnection(entry));
	}

	/**
	 * Returns the number of known entries in the own region.
	 * @return the number
	 */
	int nearEntryCount() {
		int count = 0;
		for (EntryConnection connection : this.connections.values()) {
			count += isNear(connection) ? 1 : 0;
		}
		return count;
	}

	/**
	 * Returns the number of known entries in other regions.
	 * @return the number
	 */
	int remoteEntryCount() {
		return this.connections.size() - nearEntryCount();
	}

	private boolean isNear(EntryConnection connection) {
		return connection.region.isEmpty() || connection.region.equals(this.ownRegion);
	}

	boolean hasRespondingEntry() {
		return this.connections.values()
			.stream()
			.anyMatch((connection) -> connection.hasAnswered && connection.failures == 0);
	}

	/**
	 * Sends the status as a datagram to the responding entries. A datagram costs a small
	 * fraction of a call and has no answer; the next report makes up for a lost one.
	 * @param status the status
	 * @param remoteToo true to send it to the entries of other regions too
	 */
	void sendStatus(EngineStatus status, boolean remoteToo) {
		Buffer bytes = Buffer.buffer(status.toByteArray());
		for (EntryConnection connection : this.connections.values()) {
			if (connection.hasAnswered && connection.failures == 0 && (remoteToo || isNear(connection))) {
				this.datagrams.send(bytes, this.entryPort, connection.address.getIp());
			}
		}
	}

	/**
	 * Requests briefings from the entries that are not responding and are due, and from
	 * the responding entries that were called least recently.
	 * @param status the status
	 */
	void requestBriefings(EngineStatus.Builder status) {
		long nowMs = this.clock.monotonicMs();
		List<EntryConnection> due = new ArrayList<>();
		for (EntryConnection connection : this.connections.values()) {
			if (!connection.callInProgress && nowMs >= connection.nextCallMs) {
				due.add(connection);
			}
		}
		due.sort(Comparator.comparingLong((connection) -> connection.lastCallMs));
		int respondingCount = 0;
		for (EntryConnection connection : due) {
			boolean isResponding = connection.hasAnswered && connection.failures == 0;
			if (isResponding && ++respondingCount > MAX_CALLS_PER_ROUND) {
				continue;
			}
			requestBriefing(connection, status.setBriefingDigest(connection.briefingDigest).build());
		}
	}

	private void requestBriefing(EntryConnection connection, EngineStatus status) {
		connection.callInProgress = true;
		connection.lastCallMs = this.clock.monotonicMs();
		this.client
			.call(connection.address, FleetGrpcClient.Report, status,
					() -> connection.failures + 1 >= MAX_CONSECUTIVE_FAILURES)
			.onComplete((result) -> {
				connection.callInProgress = false;
				if (result.succeeded()) {
					handleBriefing(connection, result.result());
				}
				else {
					handleCallFailure(connection, result.cause());
				}
			});
	}

	private void handleBriefing(EntryConnection connection, AgentBriefing briefing) {
		if (connection.failures > 0 || !connection.hasAnswered) {
			this.log.write(LogEvent.PEER, "entry", Addresses.format(connection.address), "heard", true);
		}
		connection.failures = 0;
		connection.hasAnswered = true;
		this.view.confirm(this.clock.monotonicMs());
		if (!briefing.getUnchanged()) {
			updateView(connection, briefing);
		}
		this.onBriefing.run();
	}

	private void updateView(EntryConnection connection, AgentBriefing briefing) {
		connection.briefingDigest = briefing.getDigest();
		for (EntryPlace place : briefing.getEntryPlacesList()) {
			addEntry(place.getControl());
			this.connections.get(Addresses.format(place.getControl())).region = place.getRegion();
		}
		if (this.view.updateBriefing(briefing, this.clock.monotonicMs())) {
			this.log.write(LogEvent.VERSION, "model", briefing.getModel(), "version", briefing.getVersion(), "source",
					Addresses.format(connection.address));
		}
	}

	private void handleCallFailure(EntryConnection connection, Throwable cause) {
		connection.failures++;
		connection.briefingDigest = 0;
		if (connection.failures == 2) {
			this.log.write(LogEvent.PEER, "entry", Addresses.format(connection.address), "heard", false, "reason",
					cause.getMessage());
		}
		boolean otherResponds = hasRespondingEntry();
		connection.nextCallMs = this.clock.monotonicMs() + EntryCallBackoff.delayMs(connection.failures, otherResponds);
		if (connection.failures > FAILURES_BEFORE_REMOVAL && otherResponds) {
			this.connections.remove(Addresses.format(connection.address));
		}
	}

	void close() {
		this.datagrams.close();
		this.client.close();
	}

	private static final class EntryConnection {

		private final Address address;

		// Empty until a briefing names it.
		private String region = "";

		private boolean callInProgress;

		private boolean hasAnswered;

		private int failures;

		private long nextCallMs = Long.MIN_VALUE;

		private long lastCallMs = Long.MIN_VALUE;

		private long briefingDigest;

		private EntryConnection(Address address) {
			this.address = address;
		}

	}

}
