package org.wigeontally.weights;

import java.util.BitSet;

/**
 * What a scheduler knows of one peer. Used by one thread.
 */
final class PeerState {

	private static final long CORRUPT_BACKOFF_INITIAL_MS = 2000;

	private static final long CORRUPT_BACKOFF_MAX_MS = 60_000;

	private static final long RETRY_INITIAL_MS = 500;

	private static final long RETRY_MAX_MS = 10_000;

	private static final int MAX_CONSECUTIVE_FAILURES = 2;

	final HostLocation location;

	final BitSet chunks = new BitSet();

	/** Pause after corrupt chunks. */
	final Backoff corruptBackoff = new Backoff(CORRUPT_BACKOFF_INITIAL_MS, CORRUPT_BACKOFF_MAX_MS);

	/** Pause after failures of the link or a busy answer. */
	final Backoff retryBackoff = new Backoff(RETRY_INITIAL_MS, RETRY_MAX_MS);

	int activeFetches;

	/** Failures of the path since the last chunk that came over it. */
	int consecutiveFailures;

	PeerState(HostLocation location) {
		this.location = location;
	}

	// Tells whether chunks that the peer claims may be counted on.
	boolean isReliable(long nowMs) {
		return this.corruptBackoff.hasElapsed(nowMs) && this.consecutiveFailures < MAX_CONSECUTIVE_FAILURES;
	}

	boolean isUsable(long nowMs) {
		return this.corruptBackoff.hasElapsed(nowMs) && this.retryBackoff.hasElapsed(nowMs);
	}

}
