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
 * Claims are remembered for {@link #MEMORY_MS}. A dispatch whose claim is older than
 * {@link #DISPATCH_MAX_AGE_MS} by the log's time is refused, so nothing that was
 * forgotten gets through, and an inquiry that comes later than
 * {@link #INQUIRY_MAX_AGE_MS} is not answered from forgetting. Both hold as long as this
 * host's time of day is less than 200 s behind the log's. A full table refuses new claims
 * and forgets none.
 * <p>
 * Safe for use by several threads.
 */
public final class DispatchGate {

	/** How long a claim is remembered. */
	public static final long MEMORY_MS = 900_000;

	/** Longest time from the claim's record to its dispatch. */
	public static final long DISPATCH_MAX_AGE_MS = 60_000;

	/** Age of a claim after which this gate no longer says that it did not run. */
	static final long INQUIRY_MAX_AGE_MS = 700_000;

	private final String process;

	private final Clock clock;

	private final int capacity;

	private final Map<String, Entry> entries = new LinkedHashMap<>();

	private DispatchGate(String process, Clock clock, int capacity) {
		this.process = process;
		this.clock = clock;
		this.capacity = capacity;
	}

	/**
	 * Creates the gate of an agent.
	 * @param process process id of the agent
	 * @param clock source of time
	 * @param capacity most claims remembered
	 * @return the gate
	 */
	public static DispatchGate create(String process, Clock clock, int capacity) {
		return new DispatchGate(process, clock, capacity);
	}

	/**
	 * Lets a dispatch through or refuses it; to be asked when the backend server has room
	 * for it, just before the first byte goes there.
	 * @param ticket what came with the dispatch
	 * @return true at most once for a claim
	 */
	public synchronized boolean pass(ClaimTicket ticket) {
		forget();
		if (!ticket.process().equals(this.process) || age(ticket.timeMs()) > DISPATCH_MAX_AGE_MS || full()) {
			return false;
		}
		return this.entries.putIfAbsent(ticket.claim(), new Entry(ClaimState.CLAIM_RUNNING, now())) == null;
	}

	/**
	 * Refuses a claim from now on unless it was let through before, and tells which.
	 * @param inquiry the claim and the process that it names
	 * @return what is known; {@code CLAIM_NOT_KNOWN} if another process is meant
	 */
	public synchronized ClaimReport fence(ClaimInquiry inquiry) {
		forget();
		ClaimReport.Builder report = ClaimReport.newBuilder().setClaim(inquiry.getClaim());
		if (!inquiry.getProcess().equals(this.process)) {
			return report.setState(ClaimState.CLAIM_NOT_KNOWN).build();
		}
		Entry entry = this.entries.get(inquiry.getClaim());
		if (entry == null && (full() || age(inquiry.getTimeMs()) > INQUIRY_MAX_AGE_MS)) {
			return report.setState(ClaimState.CLAIM_NOT_KNOWN).build();
		}
		if (entry == null) {
			entry = new Entry(ClaimState.CLAIM_FENCED, now());
			this.entries.put(inquiry.getClaim(), entry);
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
	public synchronized void finished(String claim, Outcome outcome) {
		Entry entry = this.entries.get(claim);
		if (entry != null && entry.state == ClaimState.CLAIM_RUNNING) {
			entry.state = ClaimState.CLAIM_DONE;
			entry.outcome = LogClaims.kept(outcome).toBuilder().setClaim(claim).build();
		}
	}

	/**
	 * Returns how many claims are remembered.
	 * @return number of claims
	 */
	public synchronized int size() {
		return this.entries.size();
	}

	private long age(long claimTimeMs) {
		return this.clock.wallMs() - claimTimeMs;
	}

	private boolean full() {
		return this.entries.size() >= this.capacity;
	}

	private long now() {
		return this.clock.monotonicMs();
	}

	private void forget() {
		long beforeMs = now() - MEMORY_MS;
		Iterator<Entry> each = this.entries.values().iterator();
		while (each.hasNext() && each.next().sinceMs < beforeMs) {
			each.remove();
		}
	}

	/**
	 * What is known of one claim.
	 */
	private static final class Entry {

		private final long sinceMs;

		private ClaimState state;

		private Outcome outcome;

		Entry(ClaimState state, long sinceMs) {
			this.state = state;
			this.sinceMs = sinceMs;
		}

	}

}
