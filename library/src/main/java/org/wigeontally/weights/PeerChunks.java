package org.wigeontally.weights;

import java.util.BitSet;

/**
 * What a scheduler knows of one peer. Used by one thread.
 */
final class PeerChunks {

	private static final long SHUN_FIRST_MS = 2000;

	private static final long SHUN_MOST_MS = 60_000;

	private static final long RETRY_FIRST_MS = 500;

	private static final long RETRY_MOST_MS = 10_000;

	private static final int MOST_FAILURES = 2;

	final HostPlace place;

	final BitSet chunks = new BitSet();

	/** Pause after corrupt chunks. */
	final Backoff shun = new Backoff(SHUN_FIRST_MS, SHUN_MOST_MS);

	/** Pause after failures of the link or a busy answer. */
	final Backoff retry = new Backoff(RETRY_FIRST_MS, RETRY_MOST_MS);

	int fetches;

	/** Failures of the path since the last chunk that came over it. */
	int failures;

	PeerChunks(HostPlace place) {
		this.place = place;
	}

	// Tells whether chunks that the peer claims may be counted on.
	boolean counts(long nowMs) {
		return this.shun.open(nowMs) && this.failures < MOST_FAILURES;
	}

	boolean usable(long nowMs) {
		return this.shun.open(nowMs) && this.retry.open(nowMs);
	}

}
