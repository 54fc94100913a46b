package org.wigeontally.weights;

import java.util.HashMap;
import java.util.Map;
import java.util.Set;

/**
 * Holds verified chunks in memory, addressed by SHA-256, so that versions share what they
 * have in common. The bytes of a chunk enter only if they fit the digest, and nobody can
 * change them afterwards through this class: arrays are handed out for reading. All
 * methods may be called from any thread; digests are computed outside the lock.
 */
public final class ChunkStore {

	private static final long BYTES_PER_MB = 1 << 20;

	private final Map<String, byte[]> chunks = new HashMap<>();

	private final long maxBytes;

	private long heldBytes;

	private ChunkStore(long maxBytes) {
		this.maxBytes = maxBytes;
	}

	/**
	 * Creates an empty store.
	 * @param memoryMb most memory for chunks, in MiB
	 * @return the store
	 */
	public static ChunkStore create(int memoryMib) {
		return new ChunkStore(memoryMib * BYTES_PER_MB);
	}

	/**
	 * Verifies a chunk and keeps it. The caller gives the array away.
	 * @param digest the digest asked for, hexadecimal
	 * @param bytes the bytes received
	 * @return what became of it
	 */
	public Outcome put(String digest, byte[] bytes) {
		if (!Digests.sha256Hex(bytes).equals(digest)) {
			return Outcome.CORRUPT;
		}
		synchronized (this) {
			if (this.chunks.containsKey(digest)) {
				return Outcome.STORED;
			}
			if (this.heldBytes + bytes.length > this.maxBytes) {
				return Outcome.FULL;
			}
			this.chunks.put(digest, bytes);
			this.heldBytes += bytes.length;
			return Outcome.STORED;
		}
	}

	/**
	 * Returns a chunk.
	 * @param digest its digest, hexadecimal
	 * @return the bytes, not to be changed; null if they are not held
	 */
	public synchronized byte[] chunk(String digest) {
		return this.chunks.get(digest);
	}

	/**
	 * Tells whether a chunk is held.
	 * @param digest its digest, hexadecimal
	 * @return true if it is
	 */
	public synchronized boolean holds(String digest) {
		return this.chunks.containsKey(digest);
	}

	/**
	 * Drops every chunk that no wanted version names.
	 * @param wanted digests of the chunks to keep
	 */
	public synchronized void retain(Set<String> wanted) {
		this.chunks.entrySet().removeIf((entry) -> {
			boolean dropped = !wanted.contains(entry.getKey());
			this.heldBytes -= (dropped) ? entry.getValue().length : 0;
			return dropped;
		});
	}

	/**
	 * Returns the memory in use.
	 * @return bytes of all chunks held
	 */
	public synchronized long heldBytes() {
		return this.heldBytes;
	}

	/**
	 * What became of a chunk.
	 */
	public enum Outcome {

		/** Verified and held. */
		STORED,
		/** Does not fit its digest. */
		CORRUPT,
		/** Verified, but there is no room. */
		FULL

	}

}
