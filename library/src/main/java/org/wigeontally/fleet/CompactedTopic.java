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
	public List<String> applySnapshot(Collection<TopicRecord> records, long snapshotEnd) {
		List<String> changed = new ArrayList<>();
		if (snapshotEnd >= this.endOffset) {
			Map<String, TopicRecord> listed = new HashMap<>();
			records.forEach((entry) -> listed.put(entry.key(), entry));
			for (TopicRecord known : List.copyOf(this.records.values())) {
				if (!known.removed() && known.offset() < snapshotEnd && !listed.containsKey(known.key())) {
					this.records.put(known.key(), new TopicRecord(known.key(), snapshotEnd - 1, new byte[0], true));
					changed.add(known.key());
				}
			}
			if (this.endOffset < snapshotEnd) {
				this.tombstoneStartOffset = snapshotEnd;
			}
			this.endOffset = snapshotEnd;
		}
		for (TopicRecord entry : records) {
			if (put(entry)) {
				changed.add(entry.key());
			}
		}
		return changed;
	}

	/**
	 * Takes records that follow each other.
	 * @param from offset from which the records are whole
	 * @param records the records
	 * @param recordsEnd offset up to which they are whole
	 * @return keys whose record changed
	 */
	public List<String> applyUpdate(long from, Collection<TopicRecord> records, long recordsEnd) {
		List<String> changed = new ArrayList<>();
		for (TopicRecord entry : records) {
			if (put(entry)) {
				changed.add(entry.key());
			}
		}
		if (from <= this.endOffset && recordsEnd > this.endOffset) {
			this.endOffset = recordsEnd;
		}
		return changed;
	}

	private boolean put(TopicRecord entry) {
		TopicRecord known = this.records.get(entry.key());
		if (known != null && known.offset() >= entry.offset()) {
			return false;
		}
		this.records.put(entry.key(), entry);
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
	public List<TopicRecord> recordsSince(long otherEnd) {
		boolean whole = otherEnd < this.tombstoneStartOffset;
		List<TopicRecord> found = new ArrayList<>();
		for (TopicRecord entry : this.records.values()) {
			if (whole ? !entry.removed() : entry.offset() >= otherEnd) {
				found.add(entry);
			}
		}
		return found;
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
