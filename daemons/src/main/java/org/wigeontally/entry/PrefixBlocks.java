package org.wigeontally.entry;

import java.util.ArrayList;
import java.util.List;

import com.google.common.hash.Hasher;
import com.google.common.hash.Hashing;
import io.vertx.core.buffer.Buffer;

/**
 * Hashes the leading blocks of a body, each hash covering all bytes before its block's
 * end.
 */
final class PrefixBlocks {

	private static final int BLOCK_BYTES = 256;

	private static final int BLOCKS_MAX = 16;

	private PrefixBlocks() {
	}

	static List<Long> of(Buffer body) {
		List<Long> blocks = new ArrayList<>();
		int count = Math.min(BLOCKS_MAX, body.length() / BLOCK_BYTES);
		byte[] bytes = body.getBytes(0, count * BLOCK_BYTES);
		long before = 0;
		for (int i = 0; i < count; i++) {
			Hasher hasher = Hashing.murmur3_128().newHasher().putLong(before);
			before = hasher.putBytes(bytes, i * BLOCK_BYTES, BLOCK_BYTES).hash().asLong();
			blocks.add(before);
		}
		return blocks;
	}

}
