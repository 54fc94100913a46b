package org.wigeontally.misc;

import java.nio.charset.StandardCharsets;

import com.google.common.hash.Hashing;

/**
 * Hash for rendezvous hashing: processes that rank the same names agree on their order
 * without communication.
 */
public final class RendezvousHash {

	private RendezvousHash() {
	}

	/**
	 * Returns the hash of a name, or of a pair of names joined by a separator.
	 * @param name the name
	 * @return the hash, the same in all processes
	 */
	public static long of(String name) {
		return Hashing.murmur3_128().hashString(name, StandardCharsets.UTF_8).asLong();
	}

}
