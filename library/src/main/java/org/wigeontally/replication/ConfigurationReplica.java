package org.wigeontally.replication;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

import org.wigeontally.configuration.Configuration;
import org.wigeontally.configuration.ConfigurationStateMachine;
import org.wigeontally.configuration.KeyRing;
import org.wigeontally.confirmation.ServingLease;
import org.wigeontally.schema.generated.ConfigurationSnapshot;
import org.wigeontally.schema.generated.Join;
import org.wigeontally.schema.generated.OffsetRecord;
import org.wigeontally.schema.generated.Verdict;

/**
 * The replica of the configuration in one process. It also retains the newest log records
 * so that it can send them to peers that are behind. Records and snapshots come from the
 * log or from peers. The replica never moves backwards: it ignores a record or snapshot
 * that is not newer than the current configuration.
 *
 * <p>
 * Confined to the control thread, except {@link #configuration()}, which any thread may
 * call.
 */
public final class ConfigurationReplica {

	private static final int MAX_RETAINED_RECORDS = 256;

	private static final int MAX_RETAINED_JOINS = 20_000;

	private final ConfigurationStateMachine stateMachine;

	private final ServingLease servingLease;

	private final String processId;

	private final Deque<OffsetRecord> recentRecords = new ArrayDeque<>();

	private final Set<Long> acceptedOffsets = new HashSet<>();

	private final Map<String, Long> joinOffsets = new HashMap<>();

	private volatile Configuration configuration = Configuration.empty();

	private String lastRecordId = "";

	private long lastCheckpointTimeMs;

	private ConfigurationReplica(KeyRing keyRing, ServingLease servingLease, String processId) {
		this.stateMachine = ConfigurationStateMachine.create(keyRing);
		this.servingLease = servingLease;
		this.processId = processId;
	}

	/**
	 * Creates an empty replica.
	 * @param keyRing keys of operators and owners
	 * @param servingLease receives each new configuration
	 * @param processId id of this process
	 * @return the replica
	 */
	public static ConfigurationReplica create(KeyRing keyRing, ServingLease servingLease, String processId) {
		return new ConfigurationReplica(keyRing, servingLease, processId);
	}

	/**
	 * Applies the records that follow the current configuration, up to the first gap.
	 * @param records records in the order of their offsets
	 * @return true if any record was new
	 */
	public boolean applyRecords(List<OffsetRecord> records) {
		Configuration next = this.configuration;
		for (OffsetRecord record : records) {
			if (record.getOffset() > next.appliedOffset() + 1) {
				break;
			}
			if (record.getOffset() == next.appliedOffset() + 1) {
				ConfigurationStateMachine.Transition transition = this.stateMachine.apply(next, record);
				next = transition.configuration();
				retain(record, transition.verdict().filter(Verdict::getAccepted).isPresent());
			}
		}
		return publish(next);
	}

	/**
	 * Applies accepted changes that a peer selected from its records. Used by processes
	 * that do not validate changes themselves, so gaps between offsets are allowed.
	 * @param records accepted changes in the order of their offsets
	 * @return true if any record was new
	 */
	public boolean applyAcceptedRecords(List<OffsetRecord> records) {
		Configuration next = this.configuration;
		for (OffsetRecord record : records) {
			next = this.stateMachine.apply(next, record).configuration();
		}
		return publish(next);
	}

	/**
	 * Replaces the configuration with a snapshot if the snapshot is newer. Drops the
	 * retained records, which precede the snapshot.
	 * @param snapshot snapshot from a checkpoint or a peer
	 * @return true if the snapshot was newer
	 */
	public boolean installSnapshot(ConfigurationSnapshot snapshot) {
		if (snapshot.getApplied() <= this.configuration.appliedOffset()) {
			return false;
		}
		this.recentRecords.clear();
		this.acceptedOffsets.clear();
		this.lastRecordId = "";
		return publish(Configuration.of(snapshot));
	}

	private void retain(OffsetRecord record, boolean accepted) {
		if (accepted) {
			this.acceptedOffsets.add(record.getOffset());
		}
		this.lastRecordId = record.getRecord().getId();
		if (record.getRecord().hasCheckpoint()) {
			this.lastCheckpointTimeMs = record.getTimeMs();
			// A checkpoint does not change the configuration; peers need only its offset.
			this.recentRecords.addLast(withoutBody(record));
		}
		else {
			this.recentRecords.addLast(record);
		}
		if (this.recentRecords.size() > MAX_RETAINED_RECORDS) {
			this.acceptedOffsets.remove(this.recentRecords.removeFirst().getOffset());
		}
		for (Join join : record.getRecord().getJoins().getJoinsList()) {
			this.joinOffsets.putIfAbsent(join.getProcess(), record.getOffset());
		}
		if (this.joinOffsets.size() > MAX_RETAINED_JOINS) {
			long oldestRetainedOffset = record.getOffset() - MAX_RETAINED_JOINS;
			this.joinOffsets.values().removeIf((offset) -> offset < oldestRetainedOffset);
		}
	}

	private static OffsetRecord withoutBody(OffsetRecord record) {
		return record.toBuilder().setRecord(record.getRecord().toBuilder().clearBody()).build();
	}

	private boolean publish(Configuration next) {
		if (next.appliedOffset() <= this.configuration.appliedOffset()) {
			return false;
		}
		this.configuration = next;
		this.servingLease.setConfiguration(next, hasReadOwnJoin());
		return true;
	}

	/**
	 * Records the offset of a process's join record, as reported by a peer.
	 * @param joinedProcessId id of the process
	 * @param offset the offset; 0 if the peer does not know it, which is ignored
	 */
	public void recordJoin(String joinedProcessId, long offset) {
		if (offset > 0) {
			this.joinOffsets.putIfAbsent(joinedProcessId, offset);
			this.servingLease.setConfiguration(this.configuration, hasReadOwnJoin());
		}
	}

	/**
	 * Returns the offset of a process's join record.
	 * @param joinedProcessId id of the process
	 * @return the offset; 0 if it is not known yet
	 */
	public long incarnation(String joinedProcessId) {
		return this.joinOffsets.getOrDefault(joinedProcessId, 0L);
	}

	/**
	 * Returns whether this process has read the log past its own join record.
	 * @return true if it counts as a confirming host
	 */
	public boolean hasReadOwnJoin() {
		long ownJoinOffset = incarnation(this.processId);
		return ownJoinOffset > 0 && this.configuration.appliedOffset() >= ownJoinOffset;
	}

	/**
	 * Returns the current configuration.
	 * @return the newest configuration
	 */
	public Configuration configuration() {
		return this.configuration;
	}

	/**
	 * Returns the id of the last record that was applied.
	 * @return the id; empty before the first record and after installing a snapshot
	 */
	public String lastRecordId() {
		return this.lastRecordId;
	}

	/**
	 * Returns the log's timestamp of the newest checkpoint that was applied.
	 * @return milliseconds since 1970; 0 if there was none
	 */
	public long checkpointTimeMs() {
		return this.lastCheckpointTimeMs;
	}

	/**
	 * Returns the state machine, which validates a change before it is appended.
	 * @return the state machine
	 */
	public ConfigurationStateMachine stateMachine() {
		return this.stateMachine;
	}

	/**
	 * Returns the records after an offset.
	 * @param appliedOffset the offset
	 * @return the records, or null if not all of them are retained
	 */
	public List<OffsetRecord> recordsAfter(long appliedOffset) {
		if (appliedOffset >= this.configuration.appliedOffset()) {
			return List.of();
		}
		if (this.recentRecords.isEmpty() || this.recentRecords.peekFirst().getOffset() > appliedOffset + 1) {
			return null;
		}
		List<OffsetRecord> missing = new ArrayList<>();
		for (OffsetRecord record : this.recentRecords) {
			if (record.getOffset() > appliedOffset) {
				missing.add(record);
			}
		}
		return missing;
	}

	/**
	 * Selects the records that changed the configuration in force.
	 * @param records retained records
	 * @return the accepted changes and the records that settle a list of confirming hosts
	 */
	public List<OffsetRecord> selectEffectiveRecords(List<OffsetRecord> records) {
		List<OffsetRecord> effective = new ArrayList<>();
		for (OffsetRecord record : records) {
			if (this.acceptedOffsets.contains(record.getOffset()) || record.getRecord().getSettledList() > 0) {
				effective.add(record);
			}
		}
		return effective;
	}

}
