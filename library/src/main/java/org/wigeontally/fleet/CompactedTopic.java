package org.wigeontally.fleet;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * The newest record of each key of one of the store's topics, as far as this process
 * knows them, from the store itself or from other entries.
 *
 * <p>
 * Offsets order all records of a topic, so the record with the highest offset of a key
 * holds, whoever told it; a source that is behind can never take anything back.
 * {@link #endOffset()} is the offset below which nothing is unknown. Removed keys stay as
 * markers, so that others learn of the removal. A process that began with a snapshot
 * knows the removals from {@link #tombstoneStartOffset()} on only; one that is further
 * behind gets the whole content instead, which replaces everything below its end. Used by
 * one thread.
 */
public final class CompactedTopic {

	private final Map<String, TopicRecord> records = new HashMap<>();

	private long tombstoneStartOffset;

	private long endOffset;

	private CompactedTopic() {
	}

	/**
	 * Creates an empty topic.
	 * @return the topic
	 */
	public static CompactedTopic create() {
		return new CompactedTopic();
	}

	/**
	 * Returns the offset below which nothing is unknown.
	 * @return the offset
	 */
	public long endOffset() {
		return this.endOffset;
	}

	/**
	 * Returns the offset from which removals are known.
	 * @return the offset
	 */
	public long tombstoneStartOffset() {
		return this.tombstoneStartOffset;
	}

	/**
	 * Takes a whole snapshot.
	 * @param records newest record of each key
	 * @param snapshotEnd offset below which the snapshot is whole
	 * @return keys whose record changed
	 */
	public List<String> applySnapshot(Collection<TopicRecord> snapshot, long snapshotEndOffset) {
		List<String> changedKeys = new ArrayList<>();
		if (snapshotEndOffset >= this.endOffset) {
			Map<String, TopicRecord> snapshotByKey = new HashMap<>();
			snapshot.forEach((record) -> snapshotByKey.put(record.key(), record));
			for (TopicRecord known : List.copyOf(this.records.values())) {
				if (!known.removed() && known.offset() < snapshotEndOffset && !snapshotByKey.containsKey(known.key())) {
					this.records.put(known.key(),
							new TopicRecord(known.key(), snapshotEndOffset - 1, new byte[0], true));
					changedKeys.add(known.key());
				}
			}
			if (this.endOffset < snapshotEndOffset) {
				this.tombstoneStartOffset = snapshotEndOffset;
			}
			this.endOffset = snapshotEndOffset;
		}
		for (TopicRecord record : snapshot) {
			if (putIfNewer(record)) {
				changedKeys.add(record.key());
			}
		}
		return changedKeys;
	}

	/**
	 * Takes records that follow each other.
	 * @param from offset from which the records are whole
	 * @param records the records
	 * @param recordsEnd offset up to which they are whole
	 * @return keys whose record changed
	 */
	public List<String> applyUpdate(long startOffset, Collection<TopicRecord> update, long updateEndOffset) {
		List<String> changedKeys = new ArrayList<>();
		for (TopicRecord record : update) {
			if (putIfNewer(record)) {
				changedKeys.add(record.key());
			}
		}
		if (startOffset <= this.endOffset && updateEndOffset > this.endOffset) {
			this.endOffset = updateEndOffset;
		}
		return changedKeys;
	}

	private boolean putIfNewer(TopicRecord record) {
		TopicRecord known = this.records.get(record.key());
		if (known != null && known.offset() >= record.offset()) {
			return false;
		}
		this.records.put(record.key(), record);
		return true;
	}

	/**
	 * Returns a record.
	 * @param key its key
	 * @return the record, a marker of its removal, or null
	 */
	public TopicRecord record(String key) {
		return this.records.get(key);
	}

	/**
	 * Returns all records, markers of removals included.
	 * @return the records
	 */
	public Collection<TopicRecord> records() {
		return this.records.values();
	}

	/**
	 * Returns what somebody lacks.
	 * @param otherEnd offset below which they know everything
	 * @return the records at or above it, or all if removals below are not known here
	 */
	public List<TopicRecord> recordsSince(long offset) {
		boolean sendAll = offset < this.tombstoneStartOffset;
		List<TopicRecord> result = new ArrayList<>();
		for (TopicRecord record : this.records.values()) {
			if (sendAll ? !record.removed() : record.offset() >= offset) {
				result.add(record);
			}
		}
		return result;
	}

	/**
	 * A record.
	 *
	 * @param key its key
	 * @param offset its position
	 * @param value its content
	 * @param removed true if it drops the key
	 */
	public record TopicRecord(String key, long offset, byte[] value, boolean removed) {

	}

}
