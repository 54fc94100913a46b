package org.wigeontally.fleet;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * The newest record of each key of a topic of the store, as far as this process knows
 * them. Records arrive from the store and from other entries. Used by one thread.
 *
 * <p>
 * The offset orders all records of a topic. For each key the record with the highest
 * offset wins, whatever its source, so a source that lags behind cannot undo a newer
 * record. All records below {@link #endOffset()} are known.
 *
 * <p>
 * Removed keys stay as tombstones, so that other processes learn of the removal. A
 * process that started from a snapshot knows the tombstones only from
 * {@link #tombstoneStartOffset()} on. A reader that is further behind gets all records
 * instead, which it applies as a snapshot.
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
	 * Returns the offset below which all records are known.
	 * @return the offset
	 */
	public long endOffset() {
		return this.endOffset;
	}

	/**
	 * Returns the offset from which all tombstones are known.
	 * @return the offset
	 */
	public long tombstoneStartOffset() {
		return this.tombstoneStartOffset;
	}

	/**
	 * Applies a complete snapshot of the topic.
	 * @param snapshot newest record of each key
	 * @param snapshotEndOffset offset below which the snapshot is complete
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
	 * Applies the records of a range of offsets. The end offset advances only if there is
	 * no gap before the range.
	 * @param startOffset start of the range
	 * @param update the records
	 * @param updateEndOffset end of the range, exclusive
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
	 * Returns the record of a key.
	 * @param key the key
	 * @return the record, a tombstone, or null
	 */
	public TopicRecord record(String key) {
		return this.records.get(key);
	}

	/**
	 * Returns all records, including tombstones.
	 * @return the records
	 */
	public Collection<TopicRecord> records() {
		return this.records.values();
	}

	/**
	 * Returns the records that a reader lacks.
	 * @param offset offset below which the reader knows all records
	 * @return the records at or above the offset; if the offset is below
	 * {@link #tombstoneStartOffset()}, all records without tombstones
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
	 * A record of the topic.
	 *
	 * @param key its key
	 * @param offset its offset
	 * @param value its content
	 * @param removed true for a tombstone, which removes the key
	 */
	public record TopicRecord(String key, long offset, byte[] value, boolean removed) {

	}

}
