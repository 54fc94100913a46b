package org.wigeontally.spread;

import io.vertx.core.Future;

/**
 * Fetches manifests and chunks from the origin of the weights, or from the store if the
 * origin fails. Each call is a single attempt; retries and backoff are up to the caller.
 */
public interface OriginClient {

	/**
	 * Fetches a manifest.
	 * @param digest hexadecimal digest of the manifest
	 * @return bytes of the manifest, unverified
	 */
	Future<byte[]> fetchManifest(String digest);

	/**
	 * Returns whether a manifest is known without a call, so that no peer has to be asked
	 * for it.
	 * @param digest hexadecimal digest of the manifest
	 * @return true if {@link #fetchManifest} answers from memory
	 */
	default boolean knowsManifest(String digest) {
		return false;
	}

	/**
	 * Fetches a chunk.
	 * @param digest hexadecimal digest of the chunk
	 * @param size size of the chunk in bytes
	 * @return bytes of the chunk, unverified
	 */
	Future<byte[]> fetchChunk(String digest, int size);

}
