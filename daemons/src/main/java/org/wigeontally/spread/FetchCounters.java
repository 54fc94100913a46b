package org.wigeontally.spread;

import java.util.concurrent.atomic.AtomicLong;

/**
 * Counters of the data that a weight node received. Updated by the control thread; may be
 * read by any thread.
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
	 * Returns the received bytes that were discarded: corrupt chunks and chunks that the
	 * full store rejected.
	 * @return number of bytes
	 */
	public long wastedBytes() {
		return this.wastedBytes.get();
	}

	/**
	 * Returns the number of received chunks that did not match their digest.
	 * @return number of chunks
	 */
	public long corruptChunks() {
		return this.corruptChunks.get();
	}

	/**
	 * Returns the received bytes of chunk maps.
	 * @return number of bytes
	 */
	public long mapBytes() {
		return this.mapBytes.get();
	}

}
