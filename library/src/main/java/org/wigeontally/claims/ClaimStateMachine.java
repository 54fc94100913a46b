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
 * Replicated state machine of one partition's claims. Applies the records of the
 * partition's stream in offset order and derives which claim holds each key. The state
 * depends only on the records and on the times that the log assigned to them, so every
 * reader that has read the same records derives the same holders.
 * <p>
 * The first claim of a key that was not released holds the key. A release also acts as a
 * tombstone: a released claim never holds its key again, even if its own record appears
 * after the release or appears twice. An append with an unknown result is therefore
 * resolved by appending a release of its claim, and a recovering entry can release a
 * claim and claim the key in one append, even if other entries do the same concurrently.
 * <p>
 * A key is retained until no attempt with it can be accepted any more. A claim counts
 * only if the log's time of its record lies between {@code keyTime - MAX_CLOCK_LEAD_MS}
 * and {@code keyTime + KEY_RETENTION_MS}, and every claim of a key must state the same
 * {@code keyTime}. The clocks of entry hosts are not used.
 * <p>
 * A reader that could not read the stream from its beginning does not know the claims
 * before the first record it read. For keys that may have been claimed before that record
 * {@link #knowsAllClaims} returns false, and the reader abandons the claims that it was
 * granted for them.
 * <p>
 * Not safe for use by several threads.
 */
public final class ClaimStateMachine {

	/** How long a key is retained after it was first sent. */
	public static final long KEY_RETENTION_MS = 600_000;

	/** Maximum time by which a caller's clock may be ahead of the log's clock. */
	public static final long MAX_CLOCK_LEAD_MS = 10_000;

	/** Maximum time by which the log's clock may step back between two records. */
	static final long LOG_TIME_MARGIN_MS = 30_000;

	private final Map<ClaimKey, KeyState> keys = new LinkedHashMap<>();

	private long lastLogTimeMs;

	private long coveredFromMs;

	private ClaimStateMachine(long coveredFromMs) {
		this.coveredFromMs = coveredFromMs;
	}

	/**
	 * Creates the state machine of a stream that is read from its first record.
	 * @return an empty state machine
	 */
	public static ClaimStateMachine fromBeginning() {
		return new ClaimStateMachine(Long.MIN_VALUE);
	}

	/**
	 * Creates the state machine of a stream whose first records are missing.
	 * @return an empty state machine
	 */
	public static ClaimStateMachine afterGap() {
		return new ClaimStateMachine(Long.MAX_VALUE);
	}

	/**
	 * Applies the next record of the stream.
	 * @param recordTimeMs time that the log assigned to the append, in milliseconds since
	 * 1970
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
	 * Returns the decision on a claim whose record was just applied.
	 * @param key key of the claim
	 * @param claim the claim
	 * @return the decision; {@link ClaimDecision.NotRun} with a retry delay of 0 if the
	 * claim was released
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
	 * Returns whether every claim that a key can have had was read.
	 * @param keyTimeMs time at which the key was first sent
	 * @return false if claims of the key may have been dropped before they were read
	 */
	public boolean knowsAllClaims(long keyTimeMs) {
		return this.coveredFromMs == Long.MIN_VALUE || keyTimeMs - MAX_CLOCK_LEAD_MS >= this.coveredFromMs;
	}

	/**
	 * Returns the latest log time of all applied records.
	 * @return milliseconds since 1970; 0 before the first record
	 */
	public long lastLogTimeMs() {
		return this.lastLogTimeMs;
	}

	/**
	 * Returns the number of retained keys.
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
	 * Claims and outcome of one key.
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
