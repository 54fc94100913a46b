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
 * Appends the records that an entry host writes without an operator's request: joins of
 * the host itself and of the agents that exchange with it, checkpoints, and settled-list
 * records, which state that a change of the confirming hosts is complete. All of these
 * are idempotent, so a lost reply needs no handling. Checkpoints and settled-list records
 * may become due on several hosts at once; each host waits for a delay proportional to
 * its rank among the confirming hosts, so usually only one appends. Runs on the control
 * context.
 */
final class LogWriter {

	private static final Logger logger = LoggerFactory.getLogger(LogWriter.class);

	private static final long JOIN_RETRY_MS = 1500;

	private static final long RANK_DELAY_MS = 1500;

	private static final long FIRST_CHECKPOINT_DELAY_MS = 10_000;

	private final PlatformLog platformLog;

	private final ControlSettings settings;

	private final HostIdentity self;

	private final Clock clock;

	private final ConfigurationReplica replica;

	private final ServingLease servingLease;

	private final HostTable table;

	private final Map<String, Long> joinSentMsByProcess = new HashMap<>();

	private final long startedAtMs;

	private long checkpointSentAtMs;

	private long settledSinceMs;

	LogWriter(PlatformLog platformLog, ControlSettings settings, HostIdentity self, Clock clock,
			ConfigurationReplica replica, ServingLease servingLease, HostTable table) {
		this.platformLog = platformLog;
		this.settings = settings;
		this.self = self;
		this.clock = clock;
		this.replica = replica;
		this.servingLease = servingLease;
		this.table = table;
		this.startedAtMs = clock.monotonicMs();
		this.checkpointSentAtMs = this.startedAtMs;
	}

	/**
	 * Appends the records that are due. Must be called a few times a second.
	 * @param logCaughtUp true if the log was recently read to its head
	 */
	void appendDue(boolean logCaughtUp) {
		appendJoins();
		if (logCaughtUp) {
			appendCheckpoint();
			appendSettledList();
		}
	}

	private void appendJoins() {
		List<Join> due = new ArrayList<>();
		for (HostState hostState : this.table.hosts()) {
			HostIdentity host = hostState.getHost();
			if (host.getIncarnation() == 0 && isJoinDue(host)) {
				due.add(Join.newBuilder().setHost(host.getHost()).setProcess(host.getProcess()).build());
			}
		}
		if (!due.isEmpty()) {
			append(LogRecord.newBuilder().setJoins(JoinBatch.newBuilder().addAllJoins(due)));
		}
	}

	/**
	 * Returns whether to append a host's join now, and records the time if so. A join is
	 * due until it is read back from the log.
	 * @param host the host
	 * @return true if its join must be appended
	 */
	private boolean isJoinDue(HostIdentity host) {
		boolean isResponsible = host.getHost().equals(this.self.getHost())
				|| this.table.wasHeardRecently(host.getHost());
		if (!isResponsible || this.replica.incarnation(host.getProcess()) > 0) {
			this.joinSentMsByProcess.remove(host.getProcess());
			return false;
		}
		long nowMs = this.clock.monotonicMs();
		Long lastSentMs = this.joinSentMsByProcess.get(host.getProcess());
		if (lastSentMs != null && nowMs - lastSentMs < JOIN_RETRY_MS) {
			return false;
		}
		this.joinSentMsByProcess.put(host.getProcess(), nowMs);
		return true;
	}

	private void appendCheckpoint() {
		Configuration configuration = this.replica.configuration();
		long nowMs = this.clock.monotonicMs();
		long halfRetentionMs = this.settings.logRetentionMs() / 2;
		long checkpointTimeMs = this.replica.checkpointTimeMs();
		boolean due = (checkpointTimeMs > 0) ? this.clock.wallMs() - checkpointTimeMs > halfRetentionMs + rankDelayMs()
				: nowMs - this.startedAtMs > Math.min(halfRetentionMs, FIRST_CHECKPOINT_DELAY_MS) + rankDelayMs();
		boolean sentRecently = nowMs - this.checkpointSentAtMs < Math.min(halfRetentionMs, FIRST_CHECKPOINT_DELAY_MS);
		if (configuration.revision() == 0 || !due || sentRecently) {
			return;
		}
		this.checkpointSentAtMs = nowMs;
		append(LogRecord.newBuilder().setCheckpoint(configuration.snapshot()));
	}

	private void appendSettledList() {
		Configuration configuration = this.replica.configuration();
		if (configuration.previousConfirmingHosts().isEmpty() || !this.servingLease.isHostListSettled()) {
			this.settledSinceMs = 0;
			return;
		}
		long nowMs = this.clock.monotonicMs();
		if (this.settledSinceMs == 0) {
			this.settledSinceMs = nowMs;
		}
		if (nowMs - this.settledSinceMs >= rankDelayMs()) {
			this.settledSinceMs = nowMs;
			append(LogRecord.newBuilder().setSettledList(configuration.confirmingHostsRevision()));
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
				logger.info("control: failed to append {}; it may still be in the log: {}", record.getBodyCase(),
						failure.getMessage());
			}
		});
	}

}
