package org.wigeontally.sidecar;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import com.google.protobuf.ByteString;

import org.wigeontally.schema.generated.ChunkEntry;
import org.wigeontally.schema.generated.Manifest;
import org.wigeontally.schema.generated.Model;
import org.wigeontally.weights.Digests;
import org.wigeontally.weights.Manifests;
import org.wigeontally.weights.VerifiedWeights;
import org.wigeontally.weights.VersionFetchPolicy;

/**
 * A version of weights that an agent collects or holds whole. Runs on the event loop.
 */
final class CollectedVersion {

	private final long version;

	private final Manifest manifest;

	private final Model model;

	private final Map<String, Integer> indexes = new HashMap<>();

	private final long startedAtMs;

	// Kept from the moment at which all pieces are there.
	private VerifiedWeights weights;

	private int fromOrigin;

	private boolean stagedRead;

	private long stagedReadAtMs;

	private boolean begun;

	private CollectedVersion(long version, Manifest manifest, List<String> digests, long startedAtMs) {
		this.version = version;
		this.manifest = manifest;
		this.startedAtMs = startedAtMs;
		this.model = Model.newBuilder()
			.setName(manifest.getModel())
			.setVersion(manifest.getVersion())
			.setManifest(Manifests.digest(manifest))
			.build();
		for (int i = 0; i < digests.size(); i++) {
			this.indexes.put(digests.get(i), i);
		}
	}

	/**
	 * Creates a version of which nothing is here yet. All agents make the same manifest
	 * of the same digests.
	 * @param version the version
	 * @param model name of the model
	 * @param digests hexadecimal digest of each piece
	 * @param pieceBytes size of each piece
	 * @param nowMs the time
	 * @return the version
	 */
	static CollectedVersion of(long version, String model, List<String> digests, int pieceBytes, long nowMs) {
		Manifest.Builder manifest = Manifest.newBuilder()
			.setModel(model)
			.setVersion(Long.toString(version))
			.setChunkBytes(pieceBytes);
		for (String digest : digests) {
			manifest.addChunks(ChunkEntry.newBuilder()
				.setDigest(ByteString.copyFrom(Digests.fromHex(digest)))
				.setSize(pieceBytes));
		}
		return new CollectedVersion(version, manifest.build(), digests, nowMs);
	}

	long version() {
		return this.version;
	}

	Manifest manifest() {
		return this.manifest;
	}

	/**
	 * Returns what the chunk scheduler is asked for.
	 * @return name, version and digest of the manifest
	 */
	Model model() {
		return this.model;
	}

	int pieces() {
		return this.manifest.getChunksCount();
	}

	Optional<Integer> index(String digest) {
		return Optional.ofNullable(this.indexes.get(digest));
	}

	long ageMs(long nowMs) {
		return nowMs - this.startedAtMs;
	}

	Optional<VerifiedWeights> weights() {
		return Optional.ofNullable(this.weights);
	}

	void whole(VerifiedWeights all) {
		this.weights = all;
	}

	int fromOrigin() {
		return this.fromOrigin;
	}

	void askedOrigin() {
		this.fromOrigin++;
	}

	/**
	 * Notes that what the engine has staged was read, so that the rest may be fetched.
	 * @param nowMs the time
	 */
	void stagedRead(long nowMs) {
		this.stagedRead = true;
		this.stagedReadAtMs = nowMs;
	}

	/**
	 * Decides whether fetching begins now; says so once.
	 * @param olderOnTheWay true if an older version is kept and not whole
	 * @param nowMs the time
	 * @return true if it begins
	 */
	boolean begins(boolean olderOnTheWay, long nowMs) {
		if (this.begun || !this.stagedRead
				|| !VersionFetchPolicy.mayStartNewer(olderOnTheWay, nowMs - this.stagedReadAtMs)) {
			return false;
		}
		this.begun = true;
		return true;
	}

}
