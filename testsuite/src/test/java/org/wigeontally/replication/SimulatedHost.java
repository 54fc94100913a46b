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
 * One process of an entry host in a simulation: the protocol classes, driven by simulated
 * timers and messages.
 */
final class SimulatedHost {

	private static final long ROUND_MS = 500;

	private static final long POLL_MS = 300;

	private final ControlSimulation simulation;

	final String name;

	final String process;

	final ServingLease confirmation;

	final ConfigurationReplica replica;

	final LogCursor cursor;

	private final HostTable table;

	private final ExchangeProtocol protocol;

	private final Map<String, PeerSession> sessions = new HashMap<>();

	LogCursor.Outcome lastRead;

	long pausedUntilMs;

	boolean dead;

	SimulatedHost(ControlSimulation simulation, String name, String process, List<String> all, KeyRing keys) {
		this.simulation = simulation;
		this.name = name;
		this.process = process;
		HostIdentity self = HostIdentity.newBuilder()
			.setHost(name)
			.setProcess(process)
			.setRole(Role.ENTRY)
			.setAddress(Address.newBuilder().setIp("127.0.0.1").setPort(1 + all.indexOf(name)))
			.build();
		HostState state = HostState.newBuilder().setHost(self).setSequence(1).setLiveness(Liveness.LIVE).build();
		this.confirmation = ServingLease.create(simulation.clock, name, all);
		this.replica = ConfigurationReplica.create(keys, this.confirmation, process);
		this.cursor = LogCursor.create(this.replica, this.confirmation);
		this.table = HostTable.create(simulation.clock, state);
		this.protocol = ExchangeProtocol.create(state, this.replica, this.confirmation, this.table);
		for (String peer : all) {
			if (!peer.equals(name)) {
				this.sessions.put(peer, PeerSession.forAddress(peer));
			}
		}
	}

	void start() {
		this.simulation.after(this, this.simulation.random.nextInt(100), this::join);
		this.simulation.after(this, this.simulation.random.nextInt(100), this::readLog);
		this.simulation.after(this, this.simulation.random.nextInt(100), this::round);
	}

	private void join() {
		if (this.replica.incarnation(this.process) == 0) {
			Join join = Join.newBuilder().setHost(this.name).setProcess(this.process).build();
			append(LogRecord.newBuilder()
				.setId("join-" + this.process)
				.setJoins(JoinBatch.newBuilder().addJoins(join)));
		}
		Configuration held = this.replica.configuration();
		if (!held.previousConfirmingHosts().isEmpty() && this.confirmation.isHostListSettled()) {
			append(LogRecord.newBuilder().setId("settled").setSettledList(held.confirmingHostsRevision()));
		}
		this.simulation.after(this, ROUND_MS, this::join);
	}

	private void append(LogRecord.Builder record) {
		this.simulation.toLog(this, () -> this.simulation.log.append(PlatformLog.CONFIGURATION, record.build()),
				(offset) -> {
				});
	}

	private void readLog() {
		readOnce(() -> {
		});
		this.simulation.after(this, POLL_MS, this::readLog);
	}

	private void readOnce(Runnable whenCaughtUp) {
		long sentAtMs = this.simulation.clock.monotonicMs();
		long from = this.cursor.nextOffset();
		this.simulation.toLog(this, () -> this.simulation.log.read(PlatformLog.CONFIGURATION, from, 20, 0), (page) -> {
			if (page == null) {
				this.cursor.recordFailure();
				return;
			}
			this.lastRead = this.cursor.handlePage(sentAtMs, from, page);
			if (this.lastRead == LogCursor.Outcome.CAUGHT_UP) {
				whenCaughtUp.run();
			}
			else if (this.lastRead == LogCursor.Outcome.BEHIND && this.cursor.mustReadImmediately()) {
				readOnce(whenCaughtUp);
			}
		});
	}

	private void round() {
		for (String peer : this.sessions.keySet()) {
			ask(peer);
		}
		this.simulation.after(this, ROUND_MS, this::round);
	}

	private void ask(String peer) {
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

	/** Drives a change as an entry host does and records what the operator is told. */
	void submit(Change change, Operation operation) {
		readOnce(() -> {
			Optional<Verdict> known = this.replica.configuration().verdict(change.getId());
			Configuration held = this.replica.configuration();
			if (known.isEmpty() && !this.replica.stateMachine().validate(held, change).isEmpty()) {
				if (!ConfigurationStateMachine.mayHaveDiscardedVerdict(held, change)) {
					operation.told(Operation.REFUSED, this.simulation.clock.monotonicMs());
				}
				return;
			}
			if (known.isEmpty()) {
				append(LogRecord.newBuilder().setId(change.getId()).setChange(change));
			}
			settle(change.getId(), operation, this.simulation.clock.monotonicMs() + 4000);
		});
	}

	private void settle(String id, Operation operation, long deadlineMs) {
		if (this.simulation.clock.monotonicMs() > deadlineMs) {
			return;
		}
		Optional<Verdict> verdict = this.replica.configuration().verdict(id);
		if (verdict.isPresent() && !verdict.get().getAccepted()) {
			operation.told(Operation.REFUSED, this.simulation.clock.monotonicMs());
			return;
		}
		if (verdict.isPresent() && this.simulation.holdsMajority(this, verdict.get().getOffset())) {
			operation.told(Operation.ACCEPTED, this.simulation.clock.monotonicMs());
			return;
		}
		this.simulation.after(this, 50, () -> settle(id, operation, deadlineMs));
	}

	boolean serving() {
		return this.confirmation.isValid();
	}

	long revision() {
		return this.replica.configuration().revision();
	}

	List<String> peers() {
		return new ArrayList<>(this.sessions.keySet());
	}

}
