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
final class VersionDownload {

	private final long version;

	private final Manifest manifest;

	private final Model model;

	private final Map<String, Integer> indexByDigest = new HashMap<>();

	private final long startedAtMs;

	// Kept from the moment at which all pieces are there.
	private VerifiedWeights verifiedWeights;

	private int originRequestCount;

	private boolean stagedRead;

	private long stagedReadAtMs;

	private boolean fetchStarted;

	private VersionDownload(long version, Manifest manifest, List<String> digests, long startedAtMs) {
		this.version = version;
		this.manifest = manifest;
		this.startedAtMs = startedAtMs;
		this.model = Model.newBuilder()
			.setName(manifest.getModel())
			.setVersion(manifest.getVersion())
			.setManifest(Manifests.digest(manifest))
			.build();
		for (int i = 0; i < digests.size(); i++) {
			this.indexByDigest.put(digests.get(i), i);
		}
	}

	/**
	 * Creates a version of which nothing is here yet. All agents make the same manifest
	 * of the same digests.
	 * @param version the version
	 * @param model name of the model
	 * @param digests hexadecimal digest of each piece
	 * @param chunkBytes size of each piece
	 * @param nowMs the time
	 * @return the version
	 */
	static VersionDownload create(long version, String model, List<String> digests, int chunkBytes, long nowMs) {
		Manifest.Builder manifest = Manifest.newBuilder()
			.setModel(model)
			.setVersion(Long.toString(version))
			.setChunkBytes(chunkBytes);
		for (String digest : digests) {
			manifest.addChunks(ChunkEntry.newBuilder()
				.setDigest(ByteString.copyFrom(Digests.fromHex(digest)))
				.setSize(chunkBytes));
		}
		return new VersionDownload(version, manifest.build(), digests, nowMs);
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

	int chunkCount() {
		return this.manifest.getChunksCount();
	}

	Optional<Integer> chunkIndex(String digest) {
		return Optional.ofNullable(this.indexByDigest.get(digest));
	}

	long ageMs(long nowMs) {
		return nowMs - this.startedAtMs;
	}

	Optional<VerifiedWeights> verifiedWeights() {
		return Optional.ofNullable(this.verifiedWeights);
	}

	void setVerifiedWeights(VerifiedWeights verifiedWeights) {
		this.verifiedWeights = verifiedWeights;
	}

	int originRequestCount() {
		return this.originRequestCount;
	}

	void recordOriginRequest() {
		this.originRequestCount++;
	}

	/**
	 * Notes that what the engine has staged was read, so that the rest may be fetched.
	 * @param nowMs the time
	 */
	void markStagedChunksRead(long nowMs) {
		this.stagedRead = true;
		this.stagedReadAtMs = nowMs;
	}

	/**
	 * Decides whether fetching begins now; says so once.
	 * @param olderIncomplete true if an older version is kept and not whole
	 * @param nowMs the time
	 * @return true if it begins
	 */
	boolean tryStartFetch(boolean olderIncomplete, long nowMs) {
		if (this.fetchStarted || !this.stagedRead
				|| !VersionFetchPolicy.mayStartNewer(olderIncomplete, nowMs - this.stagedReadAtMs)) {
			return false;
		}
		this.fetchStarted = true;
		return true;
	}

}
