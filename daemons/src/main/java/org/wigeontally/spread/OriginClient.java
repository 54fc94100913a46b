package org.wigeontally.spread;

import io.vertx.core.Future;

/**
 * Fetches from the origin of weights, or from the store if the origin fails. Each call is
 * one try; the caller backs off.
 */
public interface OriginClient {

	/**
	 * Fetches a manifest.
	 * @param digest its digest, hexadecimal
	 * @return its bytes, unverified
	 */
	Future<byte[]> fetchManifest(String digest);

	/**
	 * Fetches a chunk.
	 * @param digest its digest, hexadecimal
	 * @param size its size in bytes
	 * @return its bytes, unverified
	 */
	Future<byte[]> fetchChunk(String digest, int size);

}
