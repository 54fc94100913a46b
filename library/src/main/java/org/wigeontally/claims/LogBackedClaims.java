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
 * Claims that are decided by the platform's log, with one {@link ClaimPartitionClient}
 * per partition. The owner must call {@link #tick} every few milliseconds. Used only on
 * the control context.
 */
public final class LogBackedClaims implements Claims {

	/** Maximum time between the request for a claim and its dispatch. */
	public static final long MAX_TIME_TO_DISPATCH_MS = 30_000;

	/** Maximum time until the record of a claim must have been read back. */
	static final long DECISION_TIMEOUT_MS = 2000;

	/**
	 * Maximum size of an answer that is stored for later attempts of the same request.
	 */
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
	 * @param controlExecutor runs tasks on the control context
	 * @param host name of this host
	 * @param incarnation supplies the offset of this host's join record
	 * @param readWaitMs maximum time that a read waits for the next record, in
	 * milliseconds
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
	 * Appends the records that are due, reads new records, abandons claims that were not
	 * decided in time, and removes expired claims.
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
	 * Removes the answer of an outcome if it is longer than
	 * {@link #MAX_STORED_ANSWER_BYTES}.
	 * @param outcome an outcome
	 * @return the outcome to store
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
	 * Returns the number of attempted appends.
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
