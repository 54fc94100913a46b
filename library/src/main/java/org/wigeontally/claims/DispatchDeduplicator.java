package org.wigeontally.claims;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;

import org.wigeontally.misc.Clock;
import org.wigeontally.schema.generated.ClaimInquiry;
import org.wigeontally.schema.generated.ClaimReport;
import org.wigeontally.schema.generated.ClaimState;
import org.wigeontally.schema.generated.Outcome;

/**
 * The last gate before a backend server: lets each claim through at most once and answers
 * whether it did.
 * <p>
 * The entry that won a claim may be paused, cut off or dead, and its dispatch may arrive
 * late or twice. Another entry that recovers the key asks the agents that the claim names
 * to fence it. An agent that has not let the claim through refuses it from then on, so
 * its answer stays true. An agent that restarted has another process id; a claim names
 * process ids, so it refuses every dispatch that was meant for the process before it, and
 * says of them that it does not know.
 * <p>
 * Claims are remembered for {@link #CLAIM_RETENTION_MS}. A dispatch whose claim is older
 * than {@link #MAX_DISPATCH_AGE_MS} by the log's time is refused, so nothing that was
 * forgotten gets through, and an inquiry that comes later than
 * {@link #MAX_INQUIRY_AGE_MS} is not answered from forgetting. Both hold as long as this
 * host's time of day is less than 200 s behind the log's. A full table refuses new claims
 * and forgets none.
 * <p>
 * Safe for use by several threads.
 */
public final class DispatchDeduplicator {

	/** How long a claim is remembered. */
	public static final long CLAIM_RETENTION_MS = 900_000;

	/** Longest time from the claim's record to its dispatch. */
	public static final long MAX_DISPATCH_AGE_MS = 60_000;

	/** Age of a claim after which this gate no longer says that it did not run. */
	static final long MAX_INQUIRY_AGE_MS = 700_000;

	private final String processId;

	private final Clock clock;

	private final int maxClaims;

	private final Map<String, ClaimEntry> claims = new LinkedHashMap<>();

	private DispatchDeduplicator(String processId, Clock clock, int maxClaims) {
		this.processId = processId;
		this.clock = clock;
		this.maxClaims = maxClaims;
	}

	/**
	 * Creates the gate of an agent.
	 * @param process process id of the agent
	 * @param clock source of time
	 * @param capacity most claims remembered
	 * @return the gate
	 */
	public static DispatchDeduplicator create(String processId, Clock clock, int maxClaims) {
		return new DispatchDeduplicator(processId, clock, maxClaims);
	}

	/**
	 * Lets a dispatch through or refuses it; to be asked when the backend server has room
	 * for it, just before the first byte goes there.
	 * @param ticket what came with the dispatch
	 * @return true at most once for a claim
	 */
	public synchronized boolean tryStart(ClaimTicket ticket) {
		removeExpiredClaims();
		if (!ticket.processId().equals(this.processId) || ageMs(ticket.logTimeMs()) > MAX_DISPATCH_AGE_MS || isFull()) {
			return false;
		}
		return this.claims.putIfAbsent(ticket.claimId(), new ClaimEntry(ClaimState.CLAIM_RUNNING, nowMs())) == null;
	}

	/**
	 * Refuses a claim from now on unless it was let through before, and tells which.
	 * @param inquiry the claim and the process that it names
	 * @return what is known; {@code CLAIM_NOT_KNOWN} if another process is meant
	 */
	public synchronized ClaimReport fence(ClaimInquiry inquiry) {
		removeExpiredClaims();
		ClaimReport.Builder report = ClaimReport.newBuilder().setClaim(inquiry.getClaim());
		if (!inquiry.getProcess().equals(this.processId)) {
			return report.setState(ClaimState.CLAIM_NOT_KNOWN).build();
		}
		ClaimEntry entry = this.claims.get(inquiry.getClaim());
		if (entry == null && (isFull() || ageMs(inquiry.getTimeMs()) > MAX_INQUIRY_AGE_MS)) {
			return report.setState(ClaimState.CLAIM_NOT_KNOWN).build();
		}
		if (entry == null) {
			entry = new ClaimEntry(ClaimState.CLAIM_FENCED, nowMs());
			this.claims.put(inquiry.getClaim(), entry);
		}
		if (entry.outcome != null) {
			report.setOutcome(entry.outcome);
		}
		return report.setState(entry.state).build();
	}

	/**
	 * Notes how a request that was let through ended.
	 * @param claim id of its claim
	 * @param outcome status and answer
	 */
	public synchronized void recordOutcome(String claimId, Outcome outcome) {
		ClaimEntry entry = this.claims.get(claimId);
		if (entry != null && entry.state == ClaimState.CLAIM_RUNNING) {
			entry.state = ClaimState.CLAIM_DONE;
			entry.outcome = LogBackedClaims.withoutLongAnswer(outcome).toBuilder().setClaim(claimId).build();
		}
	}

	/**
	 * Returns how many claims are remembered.
	 * @return number of claims
	 */
	public synchronized int claimCount() {
		return this.claims.size();
	}

	private long ageMs(long logTimeMs) {
		return this.clock.wallMs() - logTimeMs;
	}

	private boolean isFull() {
		return this.claims.size() >= this.maxClaims;
	}

	private long nowMs() {
		return this.clock.monotonicMs();
	}

	private void removeExpiredClaims() {
		long oldestKeptMs = nowMs() - CLAIM_RETENTION_MS;
		Iterator<ClaimEntry> remaining = this.claims.values().iterator();
		while (remaining.hasNext() && remaining.next().createdMs < oldestKeptMs) {
			remaining.remove();
		}
	}

	/**
	 * What is known of one claim.
	 */
	private static final class ClaimEntry {

		private final long createdMs;

		private ClaimState state;

		private Outcome outcome;

		ClaimEntry(ClaimState state, long createdMs) {
			this.state = state;
			this.createdMs = createdMs;
		}

	}

}
