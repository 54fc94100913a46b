package org.wigeontally.claims;

import java.util.HashSet;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;

import org.wigeontally.schema.generated.Claim;
import org.wigeontally.schema.generated.ClaimRecord;
import org.wigeontally.schema.generated.Outcome;

/**
 * Folds the records of one partition's stream in offset order into the holder of each
 * key. Every reader that has read the same records has the same holders; nothing but the
 * records and the log's own times enters.
 * <p>
 * A claim holds its key if it is the first that was not released. A release is also a
 * tombstone: a claim released once never holds again, even if its own record comes after
 * the release or comes twice. So a claim whose append may or may not have taken effect is
 * settled by appending its release, and a recovering entry may release and claim in one
 * append, whoever else does the same.
 * <p>
 * A key is remembered until no sending of it can be accepted any more: a claim counts
 * only if the log's time of its record lies between {@code keyTime - MAX_AHEAD_MS} and
 * {@code keyTime + KEY_MEMORY_MS}, and every claim of a key must name the same
 * {@code keyTime}. The clocks of entry hosts do not enter.
 * <p>
 * A reader that could not read the stream from its beginning does not know claims before
 * the first record it read. {@link #covers} is false for keys that may have been claimed
 * before, and the reader gives up what it won for them.
 * <p>
 * Used by one thread.
 */
public final class ClaimFold {

	/** How long a key is remembered after its first sending. */
	public static final long KEY_MEMORY_MS = 600_000;

	/** How far a caller's clock may be ahead of the log's. */
	public static final long MAX_AHEAD_MS = 10_000;

	/** How far the log's time may step back between records. */
	static final long MARGIN_MS = 30_000;

	private final Map<ClaimKey, KeyState> keys = new LinkedHashMap<>();

	private long timeMs;

	private long floorMs;

	private ClaimFold(long floorMs) {
		this.floorMs = floorMs;
	}

	/**
	 * Creates a fold of a stream that is read from its first record on.
	 * @return the fold
	 */
	public static ClaimFold fromBeginning() {
		return new ClaimFold(Long.MIN_VALUE);
	}

	/**
	 * Creates a fold of a stream whose first records are gone.
	 * @return the fold
	 */
	public static ClaimFold afterGap() {
		return new ClaimFold(Long.MAX_VALUE);
	}

	/**
	 * Applies a record.
	 * @param recordTimeMs the log's time of the append
	 * @param record the record
	 */
	public void apply(long recordTimeMs, ClaimRecord record) {
		if (this.floorMs == Long.MAX_VALUE) {
			this.floorMs = recordTimeMs;
		}
		this.timeMs = Math.max(this.timeMs, recordTimeMs);
		forget();
		ClaimKey key = new ClaimKey(record.getKey());
		switch (record.getBodyCase()) {
			case CLAIM -> claim(key, record.getClaim());
			case OUTCOME -> outcome(key, record.getOutcome());
			case RELEASE -> state(key).release(record.getRelease().getClaim());
			default -> {
			}
		}
	}

	private void claim(ClaimKey key, Claim claim) {
		if (!inTime(claim.getKeyTimeMs())) {
			return;
		}
		KeyState state = state(key);
		if (state.first == null) {
			state.first = claim;
			state.forgetAfterMs = Math.max(state.forgetAfterMs, claim.getKeyTimeMs() + KEY_MEMORY_MS + MARGIN_MS);
		}
		if (state.holding == null && state.matches(claim) && !state.released.contains(claim.getId())) {
			state.holding = new ClaimHolding(key, claim, this.timeMs);
		}
	}

	private void outcome(ClaimKey key, Outcome outcome) {
		KeyState state = this.keys.get(key);
		if (state == null || state.holding == null || !state.holding.claim().getId().equals(outcome.getClaim())) {
			return;
		}
		if (state.outcome == null) {
			state.outcome = outcome;
		}
	}

	private KeyState state(ClaimKey key) {
		long forgetAfterMs = this.timeMs + MAX_AHEAD_MS + KEY_MEMORY_MS + MARGIN_MS;
		return this.keys.computeIfAbsent(key, (absent) -> new KeyState(forgetAfterMs));
	}

	private boolean inTime(long keyTimeMs) {
		return keyTimeMs - MAX_AHEAD_MS <= this.timeMs && this.timeMs <= keyTimeMs + KEY_MEMORY_MS;
	}

	/**
	 * Tells what the stream says of a claim that was just folded.
	 * @param key its key
	 * @param claim the claim
	 * @return the decision; {@link ClaimDecision.Unsettled} without a time if the claim
	 * was released
	 */
	public ClaimDecision decide(ClaimKey key, Claim claim) {
		KeyState state = this.keys.get(key);
		if (state == null || state.first == null || (!inTime(claim.getKeyTimeMs()) && !state.holds(claim.getId()))) {
			return new ClaimDecision.KeyExpired();
		}
		if (!state.matches(claim)) {
			return new ClaimDecision.KeyReused();
		}
		if (state.outcome != null) {
			return new ClaimDecision.AlreadyDone(state.outcome);
		}
		if (state.holding == null) {
			return new ClaimDecision.Unsettled(0);
		}
		return state.holds(claim.getId()) ? new ClaimDecision.Won(state.holding)
				: new ClaimDecision.HeldByOther(state.holding);
	}

	/**
	 * Tells whether every claim that a key can have had was read.
	 * @param keyTimeMs time of the key's first sending
	 * @return false if some may have been dropped before they were read
	 */
	public boolean covers(long keyTimeMs) {
		return this.floorMs == Long.MIN_VALUE || keyTimeMs - MAX_AHEAD_MS >= this.floorMs;
	}

	/**
	 * Returns the latest of the log's times read.
	 * @return milliseconds since 1970; 0 before the first record
	 */
	public long timeMs() {
		return this.timeMs;
	}

	/**
	 * Returns how many keys are remembered.
	 * @return number of keys
	 */
	public int size() {
		return this.keys.size();
	}

	private void forget() {
		Iterator<KeyState> each = this.keys.values().iterator();
		while (each.hasNext()) {
			if (each.next().forgetAfterMs >= this.timeMs) {
				return;
			}
			each.remove();
		}
	}

	/**
	 * What is known of one key.
	 */
	private static final class KeyState {

		private final Set<String> released = new HashSet<>();

		private long forgetAfterMs;

		private Claim first;

		private ClaimHolding holding;

		private Outcome outcome;

		KeyState(long forgetAfterMs) {
			this.forgetAfterMs = forgetAfterMs;
		}

		boolean matches(Claim claim) {
			return this.first.getContent() == claim.getContent() && this.first.getKeyTimeMs() == claim.getKeyTimeMs();
		}

		boolean holds(String claim) {
			return this.holding != null && this.holding.claim().getId().equals(claim);
		}

		void release(String claim) {
			if (this.outcome != null && holds(claim)) {
				return;
			}
			this.released.add(claim);
			if (holds(claim)) {
				this.holding = null;
			}
		}

	}

}
