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
 * The copy of the configuration that one process holds, with the newest records for peers
 * that are behind. It takes records from the log and from peers alike and never goes
 * back: a record or snapshot that is not ahead of what is held changes nothing. Belongs
 * to the control thread, except {@link #configuration()}, which any thread may call.
 */
public final class ConfigurationReplica {

	private static final int RECORDS_KEPT = 256;

	private static final int JOINS_KEPT = 20_000;

	private final ConfigurationStateMachine fold;

	private final ServingLease confirmation;

	private final String process;

	private final Deque<OffsetRecord> recent = new ArrayDeque<>();

	private final Set<Long> accepted = new HashSet<>();

	private final Map<String, Long> joins = new HashMap<>();

	private volatile Configuration configuration = Configuration.empty();

	private String tailId = "";

	private long checkpointAt;

	private ConfigurationReplica(KeyRing keys, ServingLease confirmation, String process) {
		this.fold = ConfigurationStateMachine.create(keys);
		this.confirmation = confirmation;
		this.process = process;
	}

	/**
	 * Creates an empty replica.
	 * @param keys keys of operators and owners
	 * @param confirmation told of everything that is folded
	 * @param process id of this process
	 * @return the replica
	 */
	public static ConfigurationReplica create(KeyRing keys, ServingLease confirmation, String process) {
		return new ConfigurationReplica(keys, confirmation, process);
	}

	/**
	 * Folds the records that follow what is held, up to the first gap.
	 * @param records records in the order of their offsets
	 * @return true if any was new
	 */
	public boolean fold(List<OffsetRecord> records) {
		Configuration next = this.configuration;
		for (OffsetRecord record : records) {
			if (record.getOffset() > next.appliedOffset() + 1) {
				break;
			}
			if (record.getOffset() == next.appliedOffset() + 1) {
				ConfigurationStateMachine.Transition folded = this.fold.apply(next, record);
				next = folded.configuration();
				keep(record, folded.verdict().filter(Verdict::getAccepted).isPresent());
			}
		}
		return publish(next);
	}

	/**
	 * Folds accepted changes that a peer picked from its records, for a process that does
	 * not judge changes itself.
	 * @param records accepted changes in the order of their offsets
	 * @return true if any was new
	 */
	public boolean foldAccepted(List<OffsetRecord> records) {
		Configuration next = this.configuration;
		for (OffsetRecord record : records) {
			next = this.fold.apply(next, record).configuration();
		}
		return publish(next);
	}

	/**
	 * Takes a snapshot if it is ahead of what is held.
	 * @param snapshot a checkpoint's or a peer's snapshot
	 * @return true if it was
	 */
	public boolean install(ConfigurationSnapshot snapshot) {
		if (snapshot.getApplied() <= this.configuration.appliedOffset()) {
			return false;
		}
		this.recent.clear();
		this.accepted.clear();
		this.tailId = "";
		return publish(Configuration.of(snapshot));
	}

	private void keep(OffsetRecord record, boolean accepted) {
		if (accepted) {
			this.accepted.add(record.getOffset());
		}
		this.tailId = record.getRecord().getId();
		if (record.getRecord().hasCheckpoint()) {
			this.checkpointAt = record.getTimeMs();
			this.recent.addLast(withoutBody(record));
		}
		else {
			this.recent.addLast(record);
		}
		if (this.recent.size() > RECORDS_KEPT) {
			this.accepted.remove(this.recent.removeFirst().getOffset());
		}
		for (Join join : record.getRecord().getJoins().getJoinsList()) {
			this.joins.putIfAbsent(join.getProcess(), record.getOffset());
		}
		if (this.joins.size() > JOINS_KEPT) {
			long oldest = record.getOffset() - JOINS_KEPT;
			this.joins.values().removeIf((offset) -> offset < oldest);
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
		this.confirmation.setConfiguration(next, counts());
		return true;
	}

	/**
	 * Takes note of the offset of a process's join record, as a peer or the log said.
	 * @param joined id of the process
	 * @param offset the offset
	 */
	public void joined(String joined, long offset) {
		if (offset > 0) {
			this.joins.putIfAbsent(joined, offset);
			this.confirmation.setConfiguration(this.configuration, counts());
		}
	}

	/**
	 * Returns the offset of a process's join record.
	 * @param joined id of the process
	 * @return the offset; 0 if it was not read yet
	 */
	public long incarnation(String joined) {
		return this.joins.getOrDefault(joined, 0L);
	}

	/**
	 * Tells whether this process has read the log past its own join record.
	 * @return true if it counts as a confirming host
	 */
	public boolean counts() {
		long own = incarnation(this.process);
		return own > 0 && this.configuration.appliedOffset() >= own;
	}

	/**
	 * Returns what is held.
	 * @return the newest configuration
	 */
	public Configuration configuration() {
		return this.configuration;
	}

	/**
	 * Returns the id of the last record folded.
	 * @return the id; empty if the last step was a snapshot
	 */
	public String tailId() {
		return this.tailId;
	}

	/**
	 * Returns the log's time of the newest checkpoint folded.
	 * @return milliseconds since 1970; 0 for none
	 */
	public long checkpointAtMs() {
		return this.checkpointAt;
	}

	/**
	 * Returns the fold, to judge a change before it is appended.
	 * @return the fold
	 */
	public ConfigurationStateMachine judge() {
		return this.fold;
	}

	/**
	 * Returns the records after an offset.
	 * @param applied the offset
	 * @return the records, or null if not all of them are kept here
	 */
	public List<OffsetRecord> recordsAfter(long applied) {
		if (applied >= this.configuration.appliedOffset()) {
			return List.of();
		}
		if (this.recent.isEmpty() || this.recent.peekFirst().getOffset() > applied + 1) {
			return null;
		}
		List<OffsetRecord> after = new ArrayList<>();
		for (OffsetRecord record : this.recent) {
			if (record.getOffset() > applied) {
				after.add(record);
			}
		}
		return after;
	}

	/**
	 * Picks the records that changed what is in force.
	 * @param records records that are kept here
	 * @return accepted changes and settled lists among them
	 */
	public List<OffsetRecord> accepted(List<OffsetRecord> records) {
		List<OffsetRecord> picked = new ArrayList<>();
		for (OffsetRecord record : records) {
			if (this.accepted.contains(record.getOffset()) || record.getRecord().getSettledList() > 0) {
				picked.add(record);
			}
		}
		return picked;
	}

}
