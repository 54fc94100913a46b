package org.wigeontally.replication;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import org.wigeontally.configuration.Configuration;
import org.wigeontally.configuration.ConfigurationStateMachine;
import org.wigeontally.configuration.KeyRing;
import org.wigeontally.confirmation.ServingLease;
import org.wigeontally.log.PlatformLog;
import org.wigeontally.membership.HostTable;
import org.wigeontally.schema.generated.Address;
import org.wigeontally.schema.generated.Change;
import org.wigeontally.schema.generated.ExchangeReply;
import org.wigeontally.schema.generated.ExchangeRequest;
import org.wigeontally.schema.generated.HostIdentity;
import org.wigeontally.schema.generated.HostState;
import org.wigeontally.schema.generated.Join;
import org.wigeontally.schema.generated.JoinBatch;
import org.wigeontally.schema.generated.Liveness;
import org.wigeontally.schema.generated.LogRecord;
import org.wigeontally.schema.generated.Role;
import org.wigeontally.schema.generated.Verdict;

/**
 * One process of an entry host in a simulation. Runs the production protocol classes with
 * simulated timers and messages.
 */
final class SimulatedHost {

	private static final long EXCHANGE_INTERVAL_MS = 500;

	private static final long LOG_POLL_INTERVAL_MS = 300;

	private final ReplicationSimulation simulation;

	final String name;

	final String processId;

	final ServingLease servingLease;

	final ConfigurationReplica replica;

	final LogCursor cursor;

	private final HostTable hostTable;

	private final ExchangeProtocol protocol;

	private final Map<String, PeerSession> sessions = new HashMap<>();

	LogCursor.Outcome lastReadOutcome;

	long pausedUntilMs;

	boolean stopped;

	SimulatedHost(ReplicationSimulation simulation, String name, String processId, List<String> entryHosts,
			KeyRing keyRing) {
		this.simulation = simulation;
		this.name = name;
		this.processId = processId;
		HostIdentity self = HostIdentity.newBuilder()
			.setHost(name)
			.setProcess(processId)
			.setRole(Role.ENTRY)
			.setAddress(Address.newBuilder().setIp("127.0.0.1").setPort(1 + entryHosts.indexOf(name)))
			.build();
		HostState state = HostState.newBuilder().setHost(self).setSequence(1).setLiveness(Liveness.LIVE).build();
		this.servingLease = ServingLease.create(simulation.clock, name, entryHosts);
		this.replica = ConfigurationReplica.create(keyRing, this.servingLease, processId);
		this.cursor = LogCursor.create(this.replica, this.servingLease);
		this.hostTable = HostTable.create(simulation.clock, state);
		this.protocol = ExchangeProtocol.create(state, this.replica, this.servingLease, this.hostTable);
		for (String peer : entryHosts) {
			if (!peer.equals(name)) {
				this.sessions.put(peer, PeerSession.forAddress(peer));
			}
		}
	}

	void start() {
		this.simulation.schedule(this, this.simulation.random.nextInt(100), this::appendJoinAndSettledRecords);
		this.simulation.schedule(this, this.simulation.random.nextInt(100), this::readLog);
		this.simulation.schedule(this, this.simulation.random.nextInt(100), this::runExchangeRound);
	}

	private void appendJoinAndSettledRecords() {
		if (this.replica.incarnation(this.processId) == 0) {
			Join join = Join.newBuilder().setHost(this.name).setProcess(this.processId).build();
			append(LogRecord.newBuilder()
				.setId("join-" + this.processId)
				.setJoins(JoinBatch.newBuilder().addJoins(join)));
		}
		Configuration current = this.replica.configuration();
		if (!current.previousConfirmingHosts().isEmpty() && this.servingLease.isHostListSettled()) {
			append(LogRecord.newBuilder().setId("settled").setSettledList(current.confirmingHostsRevision()));
		}
		this.simulation.schedule(this, EXCHANGE_INTERVAL_MS, this::appendJoinAndSettledRecords);
	}

	private void append(LogRecord.Builder record) {
		this.simulation.callLog(this, () -> this.simulation.log.append(PlatformLog.CONFIGURATION, record.build()),
				(offset) -> {
				});
	}

	private void readLog() {
		readOnce(() -> {
		});
		this.simulation.schedule(this, LOG_POLL_INTERVAL_MS, this::readLog);
	}

	private void readOnce(Runnable whenCaughtUp) {
		long sentAtMs = this.simulation.clock.monotonicMs();
		long fromOffset = this.cursor.nextOffset();
		this.simulation.callLog(this, () -> this.simulation.log.read(PlatformLog.CONFIGURATION, fromOffset, 20, 0),
				(page) -> {
					if (page == null) {
						this.cursor.recordFailure();
						return;
					}
					this.lastReadOutcome = this.cursor.handlePage(sentAtMs, fromOffset, page);
					if (this.lastReadOutcome == LogCursor.Outcome.CAUGHT_UP) {
						whenCaughtUp.run();
					}
					else if (this.lastReadOutcome == LogCursor.Outcome.BEHIND && this.cursor.mustReadImmediately()) {
						readOnce(whenCaughtUp);
					}
				});
	}

	private void runExchangeRound() {
		for (String peer : this.sessions.keySet()) {
			exchangeWith(peer);
		}
		this.simulation.schedule(this, EXCHANGE_INTERVAL_MS, this::runExchangeRound);
	}

	private void exchangeWith(String peer) {
		PeerSession session = this.sessions.get(peer);
		long sentAtMs = this.simulation.clock.monotonicMs();
		ExchangeRequest request = this.protocol.createRequest(session, true);
		this.simulation.send(this, peer, (other) -> {
			ExchangeReply reply = other.protocol.handleRequest(request);
			this.simulation.send(other, this.name, (self) -> {
				if (self == this) {
					this.protocol.handleReply(session, sentAtMs, request, reply);
				}
			});
		});
	}

	/**
	 * Processes a change as an entry host does and records the outcome that the operator
	 * receives.
	 */
	void submit(Change change, Operation operation) {
		readOnce(() -> {
			Optional<Verdict> verdict = this.replica.configuration().verdict(change.getId());
			Configuration current = this.replica.configuration();
			if (verdict.isEmpty() && !this.replica.stateMachine().validate(current, change).isEmpty()) {
				if (!ConfigurationStateMachine.mayHaveDiscardedVerdict(current, change)) {
					operation.complete(Operation.REFUSED, this.simulation.clock.monotonicMs());
				}
				return;
			}
			if (verdict.isEmpty()) {
				append(LogRecord.newBuilder().setId(change.getId()).setChange(change));
			}
			awaitOutcome(change.getId(), operation, this.simulation.clock.monotonicMs() + 4000);
		});
	}

	private void awaitOutcome(String id, Operation operation, long deadlineMs) {
		if (this.simulation.clock.monotonicMs() > deadlineMs) {
			return;
		}
		Optional<Verdict> verdict = this.replica.configuration().verdict(id);
		if (verdict.isPresent() && !verdict.get().getAccepted()) {
			operation.complete(Operation.REFUSED, this.simulation.clock.monotonicMs());
			return;
		}
		if (verdict.isPresent() && this.simulation.isHeldByMajority(this, verdict.get().getOffset())) {
			operation.complete(Operation.ACCEPTED, this.simulation.clock.monotonicMs());
			return;
		}
		this.simulation.schedule(this, 50, () -> awaitOutcome(id, operation, deadlineMs));
	}

	boolean isServing() {
		return this.servingLease.isValid();
	}

	long revision() {
		return this.replica.configuration().revision();
	}

	List<String> peers() {
		return new ArrayList<>(this.sessions.keySet());
	}

}
