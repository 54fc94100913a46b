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
 * {@link #end()} is the offset below which nothing is unknown. Removed keys stay as
 * markers, so that others learn of the removal. A process that began with a snapshot
 * knows the removals from {@link #base()} on only; one that is further behind gets the
 * whole content instead, which replaces everything below its end. Used by one thread.
 */
public final class KeyedRecords {

	private final Map<String, Entry> entries = new HashMap<>();

	private long base;

	private long end;

	private KeyedRecords() {
	}

	/**
	 * Creates an empty topic.
	 * @return the topic
	 */
	public static KeyedRecords create() {
		return new KeyedRecords();
	}

	/**
	 * Returns the offset below which nothing is unknown.
	 * @return the offset
	 */
	public long end() {
		return this.end;
	}

	/**
	 * Returns the offset from which removals are known.
	 * @return the offset
	 */
	public long base() {
		return this.base;
	}

	/**
	 * Takes a whole snapshot.
	 * @param records newest record of each key
	 * @param snapshotEnd offset below which the snapshot is whole
	 * @return keys whose record changed
	 */
	public List<String> takeSnapshot(Collection<Entry> records, long snapshotEnd) {
		List<String> changed = new ArrayList<>();
		if (snapshotEnd >= this.end) {
			Map<String, Entry> listed = new HashMap<>();
			records.forEach((entry) -> listed.put(entry.key(), entry));
			for (Entry known : List.copyOf(this.entries.values())) {
				if (!known.removed() && known.offset() < snapshotEnd && !listed.containsKey(known.key())) {
					this.entries.put(known.key(), new Entry(known.key(), snapshotEnd - 1, new byte[0], true));
					changed.add(known.key());
				}
			}
			if (this.end < snapshotEnd) {
				this.base = snapshotEnd;
			}
			this.end = snapshotEnd;
		}
		for (Entry entry : records) {
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
	public List<String> takeUpdate(long from, Collection<Entry> records, long recordsEnd) {
		List<String> changed = new ArrayList<>();
		for (Entry entry : records) {
			if (put(entry)) {
				changed.add(entry.key());
			}
		}
		if (from <= this.end && recordsEnd > this.end) {
			this.end = recordsEnd;
		}
		return changed;
	}

	private boolean put(Entry entry) {
		Entry known = this.entries.get(entry.key());
		if (known != null && known.offset() >= entry.offset()) {
			return false;
		}
		this.entries.put(entry.key(), entry);
		return true;
	}

	/**
	 * Returns a record.
	 * @param key its key
	 * @return the record, a marker of its removal, or null
	 */
	public Entry entry(String key) {
		return this.entries.get(key);
	}

	/**
	 * Returns all records, markers of removals included.
	 * @return the records
	 */
	public Collection<Entry> entries() {
		return this.entries.values();
	}

	/**
	 * Returns what somebody lacks.
	 * @param otherEnd offset below which they know everything
	 * @return the records at or above it, or all if removals below are not known here
	 */
	public List<Entry> since(long otherEnd) {
		boolean whole = otherEnd < this.base;
		List<Entry> found = new ArrayList<>();
		for (Entry entry : this.entries.values()) {
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
	public record Entry(String key, long offset, byte[] value, boolean removed) {

	}

}
