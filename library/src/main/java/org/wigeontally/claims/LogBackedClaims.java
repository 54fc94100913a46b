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
 * Claims judged by the platform's log, one {@link ClaimPartitionClient} a partition. The
 * owner calls {@link #tick} every few milliseconds. Used on the control context.
 */
public final class LogBackedClaims implements Claims {

	/** Longest time from asking for a claim to its dispatch. */
	public static final long MAX_TIME_TO_DISPATCH_MS = 30_000;

	/** Longest wait for a claim to be read back. */
	static final long DECISION_TIMEOUT_MS = 2000;

	/** Longest answer that is kept for a later sending of the same request. */
	public static final int MAX_STORED_ANSWER_BYTES = 4096;

	private static final long LOCAL_CLAIM_RETENTION_MS = ClaimStateMachine.KEY_RETENTION_MS
			+ ClaimStateMachine.MAX_CLOCK_LEAD_MS;

	private final Clock clock;

	private final String host;

	private final LongSupplier incarnation;

	private final List<ClaimPartitionClient> partitions = new ArrayList<>();

	private final Map<String, LocalClaim> localClaims = new LinkedHashMap<>();

	private LogBackedClaims(Clock clock, String host, LongSupplier incarnation) {
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
	public static LogBackedClaims create(PlatformLog log, Clock clock, Executor controlExecutor, String host,
			LongSupplier incarnation, long readWaitMs) {
		LogBackedClaims claims = new LogBackedClaims(clock, host, incarnation);
		for (int partition = 0; partition < ClaimKey.PARTITIONS; partition++) {
			claims.partitions.add(new ClaimPartitionClient(log, clock, controlExecutor, partition, readWaitMs));
		}
		return claims;
	}

	/**
	 * Appends what is due, reads on and gives up claims that were not settled in time.
	 */
	public void tick() {
		this.partitions.forEach(ClaimPartitionClient::tick);
		removeExpiredClaims();
	}

	@Override
	public CompletionStage<ClaimDecision> claim(ClaimRequest request) {
		ClaimPartitionClient partition = partition(request.key());
		if (!partition.acceptsClaims()) {
			return CompletableFuture.completedFuture(new ClaimDecision.NotRun(ClaimPartitionClient.RETRY_DELAY_MS));
		}
		long nowMs = this.clock.monotonicMs();
		Claim claim = Claim.newBuilder()
			.setId(UUID.randomUUID().toString())
			.setHost(this.host)
			.setIncarnation(this.incarnation.getAsLong())
			.setContent(request.contentHash())
			.setKeyTimeMs(request.keyTimeMs())
			.addAllAgents(request.agents())
			.build();
		LocalClaim localClaim = new LocalClaim(request.key(), claim, nowMs,
				Math.min(request.deadlineMs(), nowMs + DECISION_TIMEOUT_MS));
		this.localClaims.put(localClaim.id(), localClaim);
		partition.enqueueClaim(localClaim);
		return localClaim.decision();
	}

	@Override
	public CompletionStage<ClaimDecision> releaseAndClaim(ClaimRequest request, ClaimGrant undispatched) {
		partition(request.key()).enqueueRelease(undispatched.key(), undispatched.claim().getId(),
				ClaimPartitionClient.LINGER_MS);
		return claim(request);
	}

	@Override
	public boolean tryStartDispatch(ClaimGrant grant) {
		LocalClaim localClaim = this.localClaims.get(grant.claim().getId());
		if (localClaim == null || this.clock.monotonicMs() - localClaim.createdMs() >= MAX_TIME_TO_DISPATCH_MS) {
			return false;
		}
		if (localClaim.state() != LocalClaim.State.GRANTED && localClaim.state() != LocalClaim.State.DISPATCHED) {
			return false;
		}
		localClaim.state(LocalClaim.State.DISPATCHED);
		return true;
	}

	@Override
	public void recordOutcome(ClaimGrant grant, Outcome outcome) {
		Outcome stored = withoutLongAnswer(outcome).toBuilder().setClaim(grant.claim().getId()).build();
		LocalClaim localClaim = this.localClaims.get(grant.claim().getId());
		if (localClaim != null) {
			localClaim.complete(stored);
		}
		ClaimRecord record = ClaimRecord.newBuilder().setKey(grant.key().bytes()).setOutcome(stored).build();
		partition(grant.key()).enqueueRecord(record, ClaimPartitionClient.OUTCOME_LINGER_MS);
	}

	/**
	 * Drops an answer that is too long to keep.
	 * @param outcome an outcome
	 * @return what is kept of it
	 */
	public static Outcome withoutLongAnswer(Outcome outcome) {
		if (outcome.getAnswer().size() <= MAX_STORED_ANSWER_BYTES) {
			return outcome;
		}
		return outcome.toBuilder().clearAnswer().setAnswerDropped(true).build();
	}

	@Override
	public void release(ClaimGrant grant) {
		LocalClaim localClaim = this.localClaims.get(grant.claim().getId());
		if (localClaim != null) {
			localClaim.state(LocalClaim.State.ABANDONED);
		}
		partition(grant.key()).enqueueRelease(grant.key(), grant.claim().getId(), ClaimPartitionClient.LINGER_MS);
	}

	@Override
	public ClaimReport report(String claimId) {
		LocalClaim localClaim = this.localClaims.get(claimId);
		if (localClaim == null) {
			return ClaimReport.newBuilder().setClaim(claimId).setState(ClaimState.CLAIM_NOT_KNOWN).build();
		}
		return localClaim.report();
	}

	/**
	 * Returns how many appends were tried.
	 * @return number of appends since the start
	 */
	public long appendCount() {
		return this.partitions.stream().mapToLong(ClaimPartitionClient::appendCount).sum();
	}

	private ClaimPartitionClient partition(ClaimKey key) {
		return this.partitions.get(key.partition());
	}

	private void removeExpiredClaims() {
		long oldestKeptMs = this.clock.monotonicMs() - LOCAL_CLAIM_RETENTION_MS;
		Iterator<LocalClaim> remaining = this.localClaims.values().iterator();
		while (remaining.hasNext() && remaining.next().createdMs() < oldestKeptMs) {
			remaining.remove();
		}
	}

}
