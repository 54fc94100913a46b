package org.wigeontally.control;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.UUID;

import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

import org.wigeontally.configuration.Configuration;
import org.wigeontally.confirmation.ServingLease;
import org.wigeontally.log.PlatformLog;
import org.wigeontally.membership.HostTable;
import org.wigeontally.misc.Clock;
import org.wigeontally.replication.ConfigurationReplica;
import org.wigeontally.schema.generated.HostIdentity;
import org.wigeontally.schema.generated.HostState;
import org.wigeontally.schema.generated.Join;
import org.wigeontally.schema.generated.JoinBatch;
import org.wigeontally.schema.generated.LogRecord;

/**
 * Appends what an entry host has to say by itself: joins of its own and of the agents
 * that exchange with it, checkpoints, and that a change of the confirming hosts is
 * settled. All of these may stand in the log twice without harm, so a lost reply needs no
 * care. Several hosts may be due at once; the place among the confirming hosts sets a
 * delay, so usually one appends. Runs on the control context.
 */
final class LogWriter {

	private static final Logger log = LoggerFactory.getLogger(LogWriter.class);

	private static final long JOIN_RETRY_MS = 1500;

	private static final long RANK_DELAY_MS = 1500;

	private static final long FIRST_CHECKPOINT_MS = 10_000;

	private final PlatformLog platformLog;

	private final ControlSettings settings;

	private final HostIdentity self;

	private final Clock clock;

	private final ConfigurationReplica replica;

	private final ServingLease confirmation;

	private final HostTable table;

	private final Map<String, Long> joinsSentAtMs = new HashMap<>();

	private final long startedAtMs;

	private long checkpointSentAtMs;

	private long settledSeenAtMs;

	LogWriter(PlatformLog platformLog, ControlSettings settings, HostIdentity self, Clock clock,
			ConfigurationReplica replica, ServingLease confirmation, HostTable table) {
		this.platformLog = platformLog;
		this.settings = settings;
		this.self = self;
		this.clock = clock;
		this.replica = replica;
		this.confirmation = confirmation;
		this.table = table;
		this.startedAtMs = clock.monotonicMs();
		this.checkpointSentAtMs = this.startedAtMs;
	}

	/**
	 * Appends what is due. To be called a few times a second.
	 * @param logFresh true if the log was read to its head lately
	 */
	void tick(boolean logFresh) {
		appendJoins();
		if (logFresh) {
			appendCheckpoint();
			appendSettled();
		}
	}

	private void appendJoins() {
		List<Join> due = new ArrayList<>();
		for (HostState row : this.table.hosts()) {
			HostIdentity host = row.getHost();
			if (host.getIncarnation() == 0 && isDue(host)) {
				due.add(Join.newBuilder().setHost(host.getHost()).setProcess(host.getProcess()).build());
			}
		}
		if (!due.isEmpty()) {
			append(LogRecord.newBuilder().setJoins(JoinBatch.newBuilder().addAllJoins(due)));
		}
	}

	private boolean isDue(HostIdentity host) {
		boolean mine = host.getHost().equals(this.self.getHost()) || this.table.wasHeardRecently(host.getHost());
		if (!mine || this.replica.incarnation(host.getProcess()) > 0) {
			this.joinsSentAtMs.remove(host.getProcess());
			return false;
		}
		long now = this.clock.monotonicMs();
		Long sent = this.joinsSentAtMs.get(host.getProcess());
		if (sent != null && now - sent < JOIN_RETRY_MS) {
			return false;
		}
		this.joinsSentAtMs.put(host.getProcess(), now);
		return true;
	}

	private void appendCheckpoint() {
		Configuration held = this.replica.configuration();
		long now = this.clock.monotonicMs();
		long halfRetention = this.settings.logRetentionMs() / 2;
		long known = this.replica.checkpointTimeMs();
		boolean due = (known > 0) ? this.clock.wallMs() - known > halfRetention + rankDelayMs()
				: now - this.startedAtMs > Math.min(halfRetention, FIRST_CHECKPOINT_MS) + rankDelayMs();
		boolean sentLately = now - this.checkpointSentAtMs < Math.min(halfRetention, FIRST_CHECKPOINT_MS);
		if (held.revision() == 0 || !due || sentLately) {
			return;
		}
		this.checkpointSentAtMs = now;
		append(LogRecord.newBuilder().setCheckpoint(held.snapshot()));
	}

	private void appendSettled() {
		Configuration held = this.replica.configuration();
		if (held.previousConfirmingHosts().isEmpty() || !this.confirmation.isHostListSettled()) {
			this.settledSeenAtMs = 0;
			return;
		}
		long now = this.clock.monotonicMs();
		if (this.settledSeenAtMs == 0) {
			this.settledSeenAtMs = now;
		}
		if (now - this.settledSeenAtMs >= rankDelayMs()) {
			this.settledSeenAtMs = now;
			append(LogRecord.newBuilder().setSettledList(held.confirmingHostsRevision()));
		}
	}

	private long rankDelayMs() {
		List<String> hosts = this.replica.configuration().confirmingHosts();
		int rank = hosts.indexOf(this.self.getHost());
		return RANK_DELAY_MS * ((rank >= 0) ? rank : hosts.size());
	}

	private void append(LogRecord.Builder record) {
		record.setId(UUID.randomUUID().toString());
		this.platformLog.append(PlatformLog.CONFIGURATION, record.build()).whenComplete((offset, failure) -> {
			if (failure != null) {
				log.info("control: an append of {} was not confirmed: {}", record.getBodyCase(), failure.getMessage());
			}
		});
	}

}
