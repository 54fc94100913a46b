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
 * Last check before a request is sent to a backend server. Lets each claim through at
 * most once and reports whether it did.
 * <p>
 * The entry that holds a claim may be paused, disconnected or dead, and its dispatch may
 * arrive late or twice. Another entry that recovers the key asks the agents that the
 * claim names to fence it. An agent that has not let the claim through rejects it from
 * then on, so its answer remains true. A restarted agent has a new process id. Because a
 * claim names process ids, the restarted agent rejects every dispatch that was addressed
 * to the previous process, and reports the state of those claims as not known.
 * <p>
 * Claims are retained for {@link #CLAIM_RETENTION_MS}. A dispatch whose claim is older
 * than {@link #MAX_DISPATCH_AGE_MS} by the log's time is rejected, so a claim that is no
 * longer retained is never let through again. An inquiry about a claim that is older than
 * {@link #MAX_INQUIRY_AGE_MS} and not in the table is answered as not known instead of as
 * fenced, because the claim may have been let through and removed. Both rules hold as
 * long as the wall clock of this host is less than 200 s behind the log's clock. When the
 * table is full, new claims are rejected and no retained claim is removed early.
 * <p>
 * Safe for use by several threads.
 */
public final class DispatchDeduplicator {

	/** How long a claim is retained. */
	public static final long CLAIM_RETENTION_MS = 900_000;

	/** Maximum age of a claim, by the log's time of its record, at its dispatch. */
	public static final long MAX_DISPATCH_AGE_MS = 60_000;

	/** Age of a claim after which this agent no longer reports that it did not run. */
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
	 * Creates the deduplicator of an agent.
	 * @param processId process id of the agent
	 * @param clock source of time
	 * @param maxClaims maximum number of retained claims
	 * @return the deduplicator
	 */
	public static DispatchDeduplicator create(String processId, Clock clock, int maxClaims) {
		return new DispatchDeduplicator(processId, clock, maxClaims);
	}

	/**
	 * Lets a dispatch through or rejects it. Must be called when the backend server has
	 * room for the request, just before the first byte is sent to it.
	 * @param ticket the ticket of the dispatch
	 * @return true if the request may be sent; at most once per claim
	 */
	public synchronized boolean tryStart(ClaimTicket ticket) {
		removeExpiredClaims();
		if (!ticket.processId().equals(this.processId) || ageMs(ticket.logTimeMs()) > MAX_DISPATCH_AGE_MS || isFull()) {
			return false;
		}
		return this.claims.putIfAbsent(ticket.claimId(), new ClaimEntry(ClaimState.CLAIM_RUNNING, nowMs())) == null;
	}

	/**
	 * Fences a claim, so that it is rejected from now on, unless it was already let
	 * through.
	 * @param inquiry the claim and the process that it names
	 * @return the state of the claim; {@code CLAIM_NOT_KNOWN} if the inquiry names
	 * another process, or if the state can no longer be determined
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
	 * Records the outcome of a request that was let through.
	 * @param claimId id of the claim
	 * @param outcome status and answer of the request
	 */
	public synchronized void recordOutcome(String claimId, Outcome outcome) {
		ClaimEntry entry = this.claims.get(claimId);
		if (entry != null && entry.state == ClaimState.CLAIM_RUNNING) {
			entry.state = ClaimState.CLAIM_DONE;
			entry.outcome = LogBackedClaims.withoutLongAnswer(outcome).toBuilder().setClaim(claimId).build();
		}
	}

	/**
	 * Returns the number of retained claims.
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
	 * State of one claim.
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
