package org.wigeontally.fleet;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * The newest record of each key of a topic of the store, as far as this process knows
 * them. Records arrive from the store and from other entries. Used by one thread.
 *
 * <p>
 * The position, which consists of the era of the store and the offset, orders all records
 * of a topic (see {@link StorePosition}). For each key the record with the highest
 * position wins, whatever its source, so a source that lags behind cannot undo a newer
 * record. All records below {@link #endPosition()} are known.
 *
 * <p>
 * Removed keys stay as tombstones, so that other processes learn of the removal. A
 * process that started from a snapshot knows the tombstones only from
 * {@link #tombstoneStart()} on. A reader that is further behind gets all records instead,
 * which it applies as a snapshot.
 *
 * <p>
 * When the store is restored from an older copy, it lacks the records that were written
 * after the copy, and their offsets are assigned again. The snapshot of a restored store
 * therefore mixes old records with new ones, and the offsets alone do not tell them
 * apart. What is known here is at least as new as the copy, so it stays in force until
 * the writers have written their records again:
 * {@link #applyRestoredSnapshot(Collection, long, RestorePolicy)} only adds what is
 * certainly newer, and {@link #settle(Collection, long, RestorePolicy)} adopts the
 * content of the store some seconds later. Records that were written after the restore
 * and read one by one have positions of the new era and need none of this.
 */
public final class CompactedTopic {

	private final Map<String, TopicRecord> records = new HashMap<>();

	private long tombstoneStart;

	private long endPosition;

	private boolean settlementNeeded;

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
	 * Returns the position below which all records are known.
	 * @return the position; 0 if no record was ever received
	 */
	public long endPosition() {
		return this.endPosition;
	}

	/**
	 * Returns the position from which all tombstones are known.
	 * @return the position
	 */
	public long tombstoneStart() {
		return this.tombstoneStart;
	}

	/**
	 * Returns whether the store was restored and its content has not been adopted yet.
	 * @return true if {@link #settle} is to be called once the writers have written their
	 * records again
	 */
	public boolean isSettlementNeeded() {
		return this.settlementNeeded;
	}

	/**
	 * Returns whether a position belongs to a later era than the known records.
	 * @param position a position of the store
	 * @return true if the store was restored since the known records were read
	 */
	public boolean isOfLaterEra(long position) {
		return this.endPosition > 0 && StorePosition.era(position) > StorePosition.era(this.endPosition);
	}

	/**
	 * Applies a complete snapshot of the topic. Records that a snapshot of a later era
	 * lacks may be lost and written again, so they are kept.
	 * @param snapshot newest record of each key
	 * @param snapshotEnd position below which the snapshot is complete
	 * @return keys whose record changed
	 */
	public List<String> applySnapshot(Collection<TopicRecord> snapshot, long snapshotEnd) {
		List<String> changedKeys = new ArrayList<>();
		if (isOfLaterEra(snapshotEnd)) {
			this.settlementNeeded = true;
			startAt(snapshotEnd);
		}
		else if (snapshotEnd >= this.endPosition) {
			removeMissing(snapshot, snapshotEnd, changedKeys);
			if (this.endPosition < snapshotEnd) {
				startAt(snapshotEnd);
			}
		}
		for (TopicRecord record : snapshot) {
			if (putIfNewer(record)) {
				changedKeys.add(record.key());
			}
		}
		return changedKeys;
	}

	// A snapshot is complete up to its end, but does not contain earlier tombstones.
	private void startAt(long snapshotEnd) {
		this.tombstoneStart = snapshotEnd;
		this.endPosition = snapshotEnd;
	}

	private void removeMissing(Collection<TopicRecord> snapshot, long snapshotEnd, List<String> changedKeys) {
		Set<String> snapshotKeys = new HashSet<>();
		snapshot.forEach((record) -> snapshotKeys.add(record.key()));
		for (TopicRecord known : List.copyOf(this.records.values())) {
			if (!known.removed() && known.position() < snapshotEnd && !snapshotKeys.contains(known.key())) {
				this.records.put(known.key(), new TopicRecord(known.key(), snapshotEnd - 1, new byte[0], true));
				changedKeys.add(known.key());
			}
		}
	}

	/**
	 * Applies the first snapshot that was read from the store after it was restored.
	 * Nothing that is known is removed or replaced by an older record.
	 * @param snapshot newest record of each key, with positions of the new era
	 * @param snapshotEnd position below which the snapshot is complete
	 * @param policy decides where the order of two records is uncertain
	 * @return keys whose record changed
	 */
	public List<String> applyRestoredSnapshot(Collection<TopicRecord> snapshot, long snapshotEnd,
			RestorePolicy policy) {
		// Records of the copy were written in an earlier era. They keep the previous era,
		// so that they do not displace records that only other processes have read.
		long previousEra = StorePosition.era(this.endPosition);
		List<String> changedKeys = new ArrayList<>();
		for (TopicRecord record : snapshot) {
			TopicRecord known = this.records.get(record.key());
			long offset = StorePosition.offset(record.position());
			if (known == null || offset > StorePosition.offset(known.position()) || policy.isNewer(record, known)) {
				this.records.put(record.key(), record.withPosition(StorePosition.of(previousEra, offset)));
				changedKeys.add(record.key());
			}
		}
		this.settlementNeeded = true;
		startAt(snapshotEnd);
		return changedKeys;
	}

	/**
	 * Adopts the content of a restored store. Called after the writers have had time to
	 * write their records again.
	 * @param snapshot newest record of each key
	 * @param snapshotEnd position below which the snapshot is complete
	 * @param policy decides about records of earlier eras
	 * @return keys whose record changed
	 */
	public List<String> settle(Collection<TopicRecord> snapshot, long snapshotEnd, RestorePolicy policy) {
		List<String> changedKeys = new ArrayList<>();
		if (snapshotEnd < this.endPosition) {
			return changedKeys;
		}
		removeMissing(snapshot, snapshotEnd, changedKeys);
		for (TopicRecord record : snapshot) {
			TopicRecord known = this.records.get(record.key());
			boolean ofEarlierEra = known != null
					&& StorePosition.era(known.position()) < StorePosition.era(record.position());
			boolean stale = ofEarlierEra
					&& StorePosition.offset(record.position()) < StorePosition.offset(known.position())
					&& !policy.isRightAfterGrace(record, known);
			if (!stale && putIfNewer(record)) {
				changedKeys.add(record.key());
			}
		}
		this.settlementNeeded = false;
		startAt(snapshotEnd);
		return changedKeys;
	}

	/**
	 * Applies the records of a range of positions. The end advances only if there is no
	 * gap before the range.
	 * @param start start of the range
	 * @param update the records
	 * @param updateEnd end of the range, exclusive
	 * @return keys whose record changed
	 */
	public List<String> applyUpdate(long start, Collection<TopicRecord> update, long updateEnd) {
		List<String> changedKeys = new ArrayList<>();
		for (TopicRecord record : update) {
			if (putIfNewer(record)) {
				changedKeys.add(record.key());
			}
		}
		if (start <= this.endPosition && updateEnd > this.endPosition) {
			this.endPosition = updateEnd;
		}
		return changedKeys;
	}

	/**
	 * Applies single records, whatever other records were written before or between them.
	 * @param update the records
	 * @return keys whose record changed
	 */
	public List<String> applySingleRecords(Collection<TopicRecord> update) {
		return applyUpdate(0, update, 0);
	}

	private boolean putIfNewer(TopicRecord record) {
		TopicRecord known = this.records.get(record.key());
		if (known != null && known.position() >= record.position()) {
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
	 * @param position position below which the reader knows all records
	 * @return the records at or above the position; if it is below
	 * {@link #tombstoneStart()}, all records without tombstones
	 */
	public List<TopicRecord> recordsSince(long position) {
		boolean sendAll = position < this.tombstoneStart;
		List<TopicRecord> result = new ArrayList<>();
		for (TopicRecord record : this.records.values()) {
			if (sendAll ? !record.removed() : record.position() >= position) {
				result.add(record);
			}
		}
		return result;
	}

	/**
	 * A record of the topic.
	 *
	 * @param key its key
	 * @param position its position, see {@link StorePosition}
	 * @param value its content
	 * @param removed true for a tombstone, which removes the key
	 */
	public record TopicRecord(String key, long position, byte[] value, boolean removed) {

		TopicRecord withPosition(long newPosition) {
			return new TopicRecord(this.key, newPosition, this.value, this.removed);
		}

	}

}
