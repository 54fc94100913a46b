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
 * the first record it read. {@link #knowsAllClaims} is false for keys that may have been
 * claimed before, and the reader gives up what it won for them.
 * <p>
 * Used by one thread.
 */
public final class ClaimStateMachine {

	/** How long a key is remembered after its first sending. */
	public static final long KEY_RETENTION_MS = 600_000;

	/** How far a caller's clock may be ahead of the log's. */
	public static final long MAX_CLOCK_LEAD_MS = 10_000;

	/** How far the log's time may step back between records. */
	static final long LOG_TIME_MARGIN_MS = 30_000;

	private final Map<ClaimKey, KeyState> keys = new LinkedHashMap<>();

	private long lastLogTimeMs;

	private long coveredFromMs;

	private ClaimStateMachine(long coveredFromMs) {
		this.coveredFromMs = coveredFromMs;
	}

	/**
	 * Creates a fold of a stream that is read from its first record on.
	 * @return the fold
	 */
	public static ClaimStateMachine fromBeginning() {
		return new ClaimStateMachine(Long.MIN_VALUE);
	}

	/**
	 * Creates a fold of a stream whose first records are gone.
	 * @return the fold
	 */
	public static ClaimStateMachine afterGap() {
		return new ClaimStateMachine(Long.MAX_VALUE);
	}

	/**
	 * Applies a record.
	 * @param recordTimeMs the log's time of the append
	 * @param record the record
	 */
	public void apply(long recordTimeMs, ClaimRecord record) {
		if (this.coveredFromMs == Long.MAX_VALUE) {
			this.coveredFromMs = recordTimeMs;
		}
		this.lastLogTimeMs = Math.max(this.lastLogTimeMs, recordTimeMs);
		removeExpiredKeys();
		ClaimKey key = new ClaimKey(record.getKey());
		switch (record.getBodyCase()) {
			case CLAIM -> applyClaim(key, record.getClaim());
			case OUTCOME -> applyOutcome(key, record.getOutcome());
			case RELEASE -> getOrCreateKeyState(key).release(record.getRelease().getClaim());
			default -> {
			}
		}
	}

	private void applyClaim(ClaimKey key, Claim claim) {
		if (!isWithinKeyLifetime(claim.getKeyTimeMs())) {
			return;
		}
		KeyState state = getOrCreateKeyState(key);
		if (state.firstClaim == null) {
			state.firstClaim = claim;
			state.expiryMs = Math.max(state.expiryMs, claim.getKeyTimeMs() + KEY_RETENTION_MS + LOG_TIME_MARGIN_MS);
		}
		if (state.grant == null && state.matches(claim) && !state.releasedClaimIds.contains(claim.getId())) {
			state.grant = new ClaimGrant(key, claim, this.lastLogTimeMs);
		}
	}

	private void applyOutcome(ClaimKey key, Outcome outcome) {
		KeyState state = this.keys.get(key);
		if (state == null || state.grant == null || !state.grant.claim().getId().equals(outcome.getClaim())) {
			return;
		}
		if (state.outcome == null) {
			state.outcome = outcome;
		}
	}

	private KeyState getOrCreateKeyState(ClaimKey key) {
		long expiryMs = this.lastLogTimeMs + MAX_CLOCK_LEAD_MS + KEY_RETENTION_MS + LOG_TIME_MARGIN_MS;
		return this.keys.computeIfAbsent(key, (absent) -> new KeyState(expiryMs));
	}

	private boolean isWithinKeyLifetime(long keyTimeMs) {
		return keyTimeMs - MAX_CLOCK_LEAD_MS <= this.lastLogTimeMs
				&& this.lastLogTimeMs <= keyTimeMs + KEY_RETENTION_MS;
	}

	/**
	 * Tells what the stream says of a claim that was just folded.
	 * @param key its key
	 * @param claim the claim
	 * @return the decision; {@link ClaimDecision.NotRun} without a time if the claim was
	 * released
	 */
	public ClaimDecision decide(ClaimKey key, Claim claim) {
		KeyState state = this.keys.get(key);
		if (state == null || state.firstClaim == null
				|| (!isWithinKeyLifetime(claim.getKeyTimeMs()) && !state.holds(claim.getId()))) {
			return new ClaimDecision.KeyExpired();
		}
		if (!state.matches(claim)) {
			return new ClaimDecision.KeyReused();
		}
		if (state.outcome != null) {
			return new ClaimDecision.AlreadyDone(state.outcome);
		}
		if (state.grant == null) {
			return new ClaimDecision.NotRun(0);
		}
		return state.holds(claim.getId()) ? new ClaimDecision.Granted(state.grant)
				: new ClaimDecision.HeldByOther(state.grant);
	}

	/**
	 * Tells whether every claim that a key can have had was read.
	 * @param keyTimeMs time of the key's first sending
	 * @return false if some may have been dropped before they were read
	 */
	public boolean knowsAllClaims(long keyTimeMs) {
		return this.coveredFromMs == Long.MIN_VALUE || keyTimeMs - MAX_CLOCK_LEAD_MS >= this.coveredFromMs;
	}

	/**
	 * Returns the latest of the log's times read.
	 * @return milliseconds since 1970; 0 before the first record
	 */
	public long lastLogTimeMs() {
		return this.lastLogTimeMs;
	}

	/**
	 * Returns how many keys are remembered.
	 * @return number of keys
	 */
	public int keyCount() {
		return this.keys.size();
	}

	private void removeExpiredKeys() {
		Iterator<KeyState> keyStates = this.keys.values().iterator();
		while (keyStates.hasNext()) {
			if (keyStates.next().expiryMs >= this.lastLogTimeMs) {
				return;
			}
			keyStates.remove();
		}
	}

	/**
	 * What is known of one key.
	 */
	private static final class KeyState {

		private final Set<String> releasedClaimIds = new HashSet<>();

		private long expiryMs;

		private Claim firstClaim;

		private ClaimGrant grant;

		private Outcome outcome;

		KeyState(long expiryMs) {
			this.expiryMs = expiryMs;
		}

		boolean matches(Claim claim) {
			return this.firstClaim.getContent() == claim.getContent()
					&& this.firstClaim.getKeyTimeMs() == claim.getKeyTimeMs();
		}

		boolean holds(String claimId) {
			return this.grant != null && this.grant.claim().getId().equals(claimId);
		}

		void release(String claimId) {
			if (this.outcome != null && holds(claimId)) {
				return;
			}
			this.releasedClaimIds.add(claimId);
			if (holds(claimId)) {
				this.grant = null;
			}
		}

	}

}
