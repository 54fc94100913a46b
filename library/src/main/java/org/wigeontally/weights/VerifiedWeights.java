package org.wigeontally.weights;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

import org.wigeontally.schema.generated.ChunkEntry;
import org.wigeontally.schema.generated.Manifest;

/**
 * All bytes of one version, with every chunk verified. An engine gets its weights only
 * through this class, and no instance exists for an incomplete version. Immutable.
 */
public final class VerifiedWeights {

	private final Manifest manifest;

	private final List<byte[]> chunks;

	private VerifiedWeights(Manifest manifest, List<byte[]> chunks) {
		this.manifest = manifest;
		this.chunks = chunks;
	}

	/**
	 * Collects the chunks of a version from the store.
	 * @param manifest the verified manifest
	 * @param store the chunk store
	 * @return the weights; empty if a chunk is missing
	 */
	public static Optional<VerifiedWeights> of(Manifest manifest, ChunkStore store) {
		List<byte[]> chunks = new ArrayList<>();
		for (ChunkEntry entry : manifest.getChunksList()) {
			byte[] chunk = store.chunk(Digests.toHex(entry.getDigest().toByteArray()));
			if (chunk == null || chunk.length != entry.getSize()) {
				return Optional.empty();
			}
			chunks.add(chunk);
		}
		return Optional.of(new VerifiedWeights(manifest, List.copyOf(chunks)));
	}

	/**
	 * Returns the manifest of the version.
	 * @return the manifest
	 */
	public Manifest manifest() {
		return this.manifest;
	}

	/**
	 * Returns the chunks in order.
	 * @return the chunks, whose bytes must not be modified
	 */
	public List<byte[]> chunks() {
		return this.chunks;
	}

	/**
	 * Returns the size of the version.
	 * @return number of bytes
	 */
	public long totalBytes() {
		return Manifests.totalBytes(this.manifest);
	}

}
