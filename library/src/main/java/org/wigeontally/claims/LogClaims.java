package org.wigeontally.claims;

import java.util.ArrayList;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.UUID;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.Executor;
import java.util.function.LongSupplier;

import org.wigeontally.log.PlatformLog;
import org.wigeontally.misc.Clock;
import org.wigeontally.schema.generated.Claim;
import org.wigeontally.schema.generated.ClaimRecord;
import org.wigeontally.schema.generated.ClaimReport;
import org.wigeontally.schema.generated.ClaimState;
import org.wigeontally.schema.generated.Outcome;

/**
 * Claims judged by the platform's log, one {@link ClaimBatcher} a partition. The owner
 * calls {@link #tick} every few milliseconds. Used on the control context.
 */
public final class LogClaims implements Claims {

	/** Longest time from asking for a claim to its dispatch. */
	public static final long CLAIM_USE_MS = 30_000;

	/** Longest wait for a claim to be read back. */
	static final long SETTLE_MS = 2000;

	private static final long OWN_MEMORY_MS = ClaimFold.KEY_MEMORY_MS + ClaimFold.MAX_AHEAD_MS;

	private final Clock clock;

	private final String host;

	private final LongSupplier incarnation;

	private final List<ClaimBatcher> partitions = new ArrayList<>();

	private final Map<String, OwnClaim> own = new LinkedHashMap<>();

	private LogClaims(Clock clock, String host, LongSupplier incarnation) {
		this.clock = clock;
		this.host = host;
		this.incarnation = incarnation;
	}

	/**
	 * Creates the claims of an entry host.
	 * @param log the platform's log
	 * @param clock source of time
	 * @param control brings replies of the log to the control context
	 * @param host name of this host
	 * @param incarnation tells the offset of this host's join record
	 * @param readWaitMs longest wait of a read for the next record, in milliseconds
	 * @return the claims
	 */
	public static LogClaims create(PlatformLog log, Clock clock, Executor control, String host,
			LongSupplier incarnation, long readWaitMs) {
		LogClaims claims = new LogClaims(clock, host, incarnation);
		for (int partition = 0; partition < ClaimKey.PARTITIONS; partition++) {
			claims.partitions.add(new ClaimBatcher(log, clock, control, partition, readWaitMs));
		}
		return claims;
	}

	/**
	 * Appends what is due, reads on and gives up claims that were not settled in time.
	 */
	public void tick() {
		this.partitions.forEach(ClaimBatcher::tick);
		forget();
	}

	@Override
	public CompletionStage<ClaimDecision> claim(ClaimRequest request) {
		ClaimBatcher batcher = batcher(request.key());
		if (!batcher.takesClaims()) {
			return CompletableFuture.completedFuture(new ClaimDecision.Unsettled(ClaimBatcher.RETRY_MS));
		}
		long nowMs = this.clock.monotonicMs();
		Claim claim = Claim.newBuilder()
			.setId(UUID.randomUUID().toString())
			.setHost(this.host)
			.setIncarnation(this.incarnation.getAsLong())
			.setContent(request.content())
			.setKeyTimeMs(request.keyTimeMs())
			.addAllAgents(request.agents())
			.build();
		OwnClaim made = new OwnClaim(request.key(), claim, nowMs, Math.min(request.deadlineMs(), nowMs + SETTLE_MS));
		this.own.put(made.id(), made);
		batcher.claim(made);
		return made.decision();
	}

	@Override
	public CompletionStage<ClaimDecision> supersede(ClaimRequest request, ClaimHolding known) {
		batcher(request.key()).release(known.key(), known.claim().getId(), ClaimBatcher.LINGER_MS);
		return claim(request);
	}

	@Override
	public boolean startDispatch(ClaimHolding holding) {
		OwnClaim made = this.own.get(holding.claim().getId());
		if (made == null || this.clock.monotonicMs() - made.madeMs() >= CLAIM_USE_MS) {
			return false;
		}
		if (made.state() != OwnClaim.State.WON && made.state() != OwnClaim.State.DISPATCHED) {
			return false;
		}
		made.state(OwnClaim.State.DISPATCHED);
		return true;
	}

	@Override
	public void outcome(ClaimHolding holding, Outcome outcome) {
		Outcome named = outcome.toBuilder().setClaim(holding.claim().getId()).build();
		OwnClaim made = this.own.get(holding.claim().getId());
		if (made != null) {
			made.done(named);
		}
		ClaimRecord record = ClaimRecord.newBuilder().setKey(holding.key().bytes()).setOutcome(named).build();
		batcher(holding.key()).add(record, ClaimBatcher.OUTCOME_LINGER_MS);
	}

	@Override
	public void release(ClaimHolding holding) {
		OwnClaim made = this.own.get(holding.claim().getId());
		if (made != null) {
			made.state(OwnClaim.State.GIVEN_UP);
		}
		batcher(holding.key()).release(holding.key(), holding.claim().getId(), ClaimBatcher.LINGER_MS);
	}

	@Override
	public ClaimReport report(String claim) {
		OwnClaim made = this.own.get(claim);
		if (made == null) {
			return ClaimReport.newBuilder().setClaim(claim).setState(ClaimState.CLAIM_NOT_KNOWN).build();
		}
		return made.report();
	}

	/**
	 * Returns how many appends were tried.
	 * @return number of appends since the start
	 */
	public long appends() {
		return this.partitions.stream().mapToLong(ClaimBatcher::appends).sum();
	}

	private ClaimBatcher batcher(ClaimKey key) {
		return this.partitions.get(key.partition());
	}

	private void forget() {
		long beforeMs = this.clock.monotonicMs() - OWN_MEMORY_MS;
		Iterator<OwnClaim> each = this.own.values().iterator();
		while (each.hasNext() && each.next().madeMs() < beforeMs) {
			each.remove();
		}
	}

}
