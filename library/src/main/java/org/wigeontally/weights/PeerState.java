package org.wigeontally.weights;

import java.util.BitSet;

/**
 * State that a scheduler keeps for one peer. Not thread-safe.
 */
final class PeerState {

	private static final long CORRUPT_BACKOFF_INITIAL_MS = 2000;

	private static final long CORRUPT_BACKOFF_MAX_MS = 60_000;

	private static final long RETRY_INITIAL_MS = 500;

	private static final long RETRY_MAX_MS = 10_000;

	private static final int MAX_CONSECUTIVE_FAILURES = 2;

	final HostLocation location;

	final BitSet chunks = new BitSet();

	/** Backoff after corrupt chunks. */
	final Backoff corruptBackoff = new Backoff(CORRUPT_BACKOFF_INITIAL_MS, CORRUPT_BACKOFF_MAX_MS);

	/** Backoff after failed fetches or a busy response. */
	final Backoff retryBackoff = new Backoff(RETRY_INITIAL_MS, RETRY_MAX_MS);

	int activeFetches;

	/** Unreachable or stalled fetches since the last successful fetch. */
	int consecutiveFailures;

	PeerState(HostLocation location) {
		this.location = location;
	}

	// Returns whether the chunks that the peer advertises count as available.
	boolean isReliable(long nowMs) {
		return this.corruptBackoff.hasElapsed(nowMs) && this.consecutiveFailures < MAX_CONSECUTIVE_FAILURES;
	}

	// Returns whether a fetch from the peer may start now.
	boolean isUsable(long nowMs) {
		return this.corruptBackoff.hasElapsed(nowMs) && this.retryBackoff.hasElapsed(nowMs);
	}

}
