package org.wigeontally.entry;

import java.util.ArrayList;
import java.util.List;

import com.google.common.hash.Hasher;
import com.google.common.hash.Hashing;
import io.vertx.core.buffer.Buffer;

/**
 * Hashes the leading blocks of a request body. Each hash covers all bytes from the start
 * of the body to the end of its block, so equal hashes indicate equal prefixes.
 */
final class PrefixBlockHashes {

	private static final int BLOCK_BYTES = 256;

	private static final int MAX_BLOCKS = 16;

	private PrefixBlockHashes() {
	}

	static List<Long> of(Buffer body) {
		List<Long> hashes = new ArrayList<>();
		int count = Math.min(MAX_BLOCKS, body.length() / BLOCK_BYTES);
		byte[] bytes = body.getBytes(0, count * BLOCK_BYTES);
		long hash = 0;
		for (int i = 0; i < count; i++) {
			Hasher hasher = Hashing.murmur3_128().newHasher().putLong(hash);
			hash = hasher.putBytes(bytes, i * BLOCK_BYTES, BLOCK_BYTES).hash().asLong();
			hashes.add(hash);
		}
		return hashes;
	}

}
