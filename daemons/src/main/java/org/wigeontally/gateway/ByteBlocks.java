package org.wigeontally.gateway;

import java.util.ArrayList;
import java.util.List;

import io.netty.buffer.Unpooled;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.internal.buffer.BufferInternal;

/**
 * A growing sequence of bytes. It grows by blocks, so that growing never needs the memory
 * of the old and the new content at the same time.
 */
final class ByteBlocks {

	private static final int MAX_SHARED_BLOCK_BYTES = 64 * 1024;

	private final List<byte[]> blocks = new ArrayList<>();

	// Bytes in use of the last block.
	private int lastBlockLength;

	private int length;

	private long allocatedBytes;

	void append(byte[] added) {
		int copied = 0;
		if (!this.blocks.isEmpty()) {
			byte[] last = this.blocks.get(this.blocks.size() - 1);
			copied = Math.min(added.length, last.length - this.lastBlockLength);
			System.arraycopy(added, 0, last, this.lastBlockLength, copied);
			this.lastBlockLength += copied;
		}
		int remaining = added.length - copied;
		if (remaining > 0) {
			byte[] block = new byte[Math.max(remaining, Math.min(this.length, MAX_SHARED_BLOCK_BYTES))];
			System.arraycopy(added, copied, block, 0, remaining);
			this.blocks.add(block);
			this.lastBlockLength = remaining;
			this.allocatedBytes += block.length;
		}
		this.length += added.length;
	}

	int length() {
		return this.length;
	}

	/**
	 * Returns the memory that the bytes take.
	 * @return bytes, including the unused part of the last block
	 */
	long allocatedBytes() {
		return this.allocatedBytes;
	}

	byte[] toByteArray() {
		byte[] all = new byte[this.length];
		int position = 0;
		for (byte[] block : this.blocks) {
			int used = Math.min(block.length, this.length - position);
			System.arraycopy(block, 0, all, position, used);
			position += used;
		}
		return all;
	}

	/**
	 * Returns the bytes without copying them.
	 * @return a buffer of the blocks, which must not be changed afterwards
	 */
	Buffer toBuffer() {
		return BufferInternal.buffer(Unpooled.wrappedBuffer(this.blocks.toArray(byte[][]::new)).slice(0, this.length));
	}

}
