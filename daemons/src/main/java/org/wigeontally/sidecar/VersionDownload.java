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
 * A version of weights whose chunks an agent fetches or has completely verified. Runs on
 * the event loop.
 */
final class VersionDownload {

	private final long version;

	private final Manifest manifest;

	private final Model model;

	private final Map<String, Integer> indexByDigest = new HashMap<>();

	private final long startedAtMs;

	// Null until all chunks are verified.
	private VerifiedWeights verifiedWeights;

	private int originRequestCount;

	private boolean stagedRead;

	private long stagedReadAtMs;

	private boolean fetchStarted;

	private boolean fetchedCompletely;

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
	 * Creates a version without any chunks. All agents build the same manifest from the
	 * same digests.
	 * @param version the version
	 * @param model name of the model
	 * @param digests hexadecimal digest of each chunk
	 * @param chunkBytes size of each chunk
	 * @param nowMs current monotonic time
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
	 * Returns the model as the chunk scheduler identifies it.
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
	 * Records that the chunks staged at the engine were read, so that the missing chunks
	 * may be fetched.
	 * @param nowMs current monotonic time
	 */
	void markStagedChunksRead(long nowMs) {
		this.stagedRead = true;
		this.stagedReadAtMs = nowMs;
	}

	/**
	 * Records that all chunks that this version does not share with others have to be
	 * fetched from other hosts.
	 */
	void markFetchedCompletely() {
		this.fetchedCompletely = true;
	}

	boolean isFetchedCompletely() {
		return this.fetchedCompletely;
	}

	/**
	 * Starts the fetch if the staged chunks were read and an older version does not have
	 * to be finished first. Returns true only once.
	 * @param olderIncomplete true if an older version is kept and still incomplete
	 * @param nowMs current monotonic time
	 * @return true if the caller must start the fetch now
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
