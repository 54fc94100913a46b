package org.wigeontally.weights;

import java.util.HashMap;
import java.util.Map;
import java.util.Set;

/**
 * In-memory store of verified chunks, addressed by SHA-256 digest so that versions share
 * identical chunks. A chunk is stored only if its bytes match the digest. Returned arrays
 * are shared and must not be modified. Thread-safe; digests are computed outside the
 * lock.
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
	 * @param memoryMib maximum size of all chunks, in MiB
	 * @return the store
	 */
	public static ChunkStore create(int memoryMib) {
		return new ChunkStore(memoryMib * BYTES_PER_MB);
	}

	/**
	 * Verifies and stores a chunk. The caller must not use the array afterwards.
	 * @param digest the expected digest, hexadecimal
	 * @param bytes the bytes received
	 * @return the outcome
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
	 * @return the bytes, which must not be modified; null if the chunk is not held
	 */
	public synchronized byte[] chunk(String digest) {
		return this.chunks.get(digest);
	}

	/**
	 * Returns whether a chunk is held.
	 * @param digest its digest, hexadecimal
	 * @return true if the chunk is held
	 */
	public synchronized boolean holds(String digest) {
		return this.chunks.containsKey(digest);
	}

	/**
	 * Removes every chunk that no wanted version contains.
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
	 * Returns the size of all chunks.
	 * @return size in bytes
	 */
	public synchronized long heldBytes() {
		return this.heldBytes;
	}

	/**
	 * Result of storing a chunk.
	 */
	public enum Outcome {

		/** Verified and held. */
		STORED,
		/** Does not match its digest. */
		CORRUPT,
		/** Verified, but the store is full. */
		FULL

	}

}
