package org.wigeontally.spread;

import java.util.concurrent.atomic.AtomicLong;

/**
 * Counts of a weight node. Written by the control thread, read by any.
 */
public final class FetchCounters {

	private final AtomicLong wastedBytes = new AtomicLong();

	private final AtomicLong corruptChunks = new AtomicLong();

	private final AtomicLong mapBytes = new AtomicLong();

	FetchCounters() {
	}

	void recordWastedBytes(int bytes) {
		this.wastedBytes.addAndGet(bytes);
	}

	void recordCorruptChunk() {
		this.corruptChunks.incrementAndGet();
	}

	void recordMapBytes(int bytes) {
		this.mapBytes.addAndGet(bytes);
	}

	/**
	 * Returns bytes that were received for nothing: corrupt chunks and duplicates.
	 * @return number of bytes
	 */
	public long wastedBytes() {
		return this.wastedBytes.get();
	}

	/**
	 * Returns how many chunks did not fit their digest.
	 * @return number of chunks
	 */
	public long corruptChunks() {
		return this.corruptChunks.get();
	}

	/**
	 * Returns bytes of chunk maps that were received.
	 * @return number of bytes
	 */
	public long mapBytes() {
		return this.mapBytes.get();
	}

}
