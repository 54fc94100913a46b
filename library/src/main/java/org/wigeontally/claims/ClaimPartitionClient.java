package org.wigeontally.claims;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.UUID;
import java.util.concurrent.Executor;

import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

import org.wigeontally.log.LogPage;
import org.wigeontally.log.PlatformLog;
import org.wigeontally.misc.Clock;
import org.wigeontally.schema.generated.ClaimBatch;
import org.wigeontally.schema.generated.ClaimRecord;
import org.wigeontally.schema.generated.LogRecord;
import org.wigeontally.schema.generated.OffsetRecord;
import org.wigeontally.schema.generated.Release;

/**
 * Appends claim records to the stream of one partition and reads the stream to decide
 * claims.
 * <p>
 * The log handles only a few hundred appends per second. Records are therefore collected
 * for {@link #LINGER_MS} and appended in batches, with one append in flight. The reply to
 * an append decides nothing: a claim is decided when its record is read back from the
 * stream, because only then are all earlier claims of its key known. A lost reply
 * therefore does no harm, and claims of a failed append are never appended again.
 * Outcomes and releases are appended again; applying them twice has no effect.
 * <p>
 * A claim that was not read back in time is abandoned: it is marked so that it is never
 * dispatched, the caller is told that the request was not run, and the release of the
 * claim is appended until the log accepts it, so that a later attempt with the key can be
 * granted.
 * <p>
 * The stream is read without gaps from the oldest retained record. If the log lost
 * records that were already read, or dropped records that were not read yet,
 * {@link ClaimStateMachine#knowsAllClaims} prevents this process from using claims of
 * keys from before the gap. A head below the offset that was already read comes either
 * from a stale reply or from a log that was truncated. Once the head reaches that offset
 * again, the id of the last record read shows which of the two it was.
 * <p>
 * Used only on the control context; replies of the log are handed over to it.
 */
final class ClaimPartitionClient {

	static final long LINGER_MS = 20;

	static final long OUTCOME_LINGER_MS = 100;

	static final int MAX_RECORDS_PER_APPEND = 500;

	static final int MAX_QUEUED_RECORDS = 4 * MAX_RECORDS_PER_APPEND;

	static final int MAX_RECORDS_PER_READ = 200;

	static final long RETRY_DELAY_MS = 500;

	static final long IDLE_READ_INTERVAL_MS = 1000;

	static final long FAILED_READ_INTERVAL_MS = 100;

	private static final Logger log = LoggerFactory.getLogger(ClaimPartitionClient.class);

	private final PlatformLog platformLog;

	private final Clock clock;

	private final Executor controlExecutor;

	private final String stream;

	private final long readWaitMs;

	private final Deque<QueuedRecord> queue = new ArrayDeque<>();

	private final Map<String, LocalClaim> pendingClaims = new HashMap<>();

	private ClaimStateMachine stateMachine = ClaimStateMachine.fromBeginning();

	private long nextOffset = 1;

	private String lastRecordId = "";

	private boolean headMovedBack;

	private boolean appending;

	private boolean reading;

	private boolean lastReadFailed;

	private long nextAppendDueMs = Long.MAX_VALUE;

	private long retryAppendAtMs = Long.MIN_VALUE;

	private long lastReadMs = Long.MIN_VALUE;

	private long appendCount;

	ClaimPartitionClient(PlatformLog platformLog, Clock clock, Executor controlExecutor, int partition,
			long readWaitMs) {
		this.platformLog = platformLog;
		this.clock = clock;
		this.controlExecutor = controlExecutor;
		this.stream = ClaimKey.streamName(partition);
		this.readWaitMs = readWaitMs;
	}

	boolean acceptsClaims() {
		boolean unavailable = this.lastReadFailed && this.clock.monotonicMs() < this.retryAppendAtMs;
		return !unavailable && this.queue.size() < MAX_QUEUED_RECORDS;
	}

	void enqueueClaim(LocalClaim claim) {
		this.pendingClaims.put(claim.id(), claim);
		ClaimRecord record = ClaimRecord.newBuilder().setKey(claim.key().bytes()).setClaim(claim.claim()).build();
		enqueue(new QueuedRecord(record, claim, this.clock.monotonicMs() + LINGER_MS));
	}

	void enqueueRelease(ClaimKey key, String claimId, long lingerMs) {
		Release release = Release.newBuilder().setClaim(claimId).build();
		enqueueRecord(ClaimRecord.newBuilder().setKey(key.bytes()).setRelease(release).build(), lingerMs);
	}

	void enqueueRecord(ClaimRecord record, long lingerMs) {
		enqueue(new QueuedRecord(record, null, this.clock.monotonicMs() + lingerMs));
	}

	void tick() {
		long nowMs = this.clock.monotonicMs();
		abandonOverdueClaims(nowMs);
		if (!this.appending && nowMs >= this.retryAppendAtMs && isAppendDue(nowMs)) {
			append();
		}
		long readIntervalMs = this.lastReadFailed ? FAILED_READ_INTERVAL_MS : IDLE_READ_INTERVAL_MS;
		boolean idle = this.pendingClaims.isEmpty() && nowMs - readIntervalMs < this.lastReadMs;
		if (!this.reading && !idle) {
			read();
		}
	}

	private boolean isAppendDue(long nowMs) {
		return this.queue.size() >= MAX_RECORDS_PER_APPEND || nowMs >= this.nextAppendDueMs;
	}

	private void enqueue(QueuedRecord queued) {
		this.queue.add(queued);
		this.nextAppendDueMs = Math.min(this.nextAppendDueMs, queued.dueMs);
	}

	private void abandonOverdueClaims(long nowMs) {
		List<LocalClaim> overdue = new ArrayList<>();
		for (LocalClaim claim : this.pendingClaims.values()) {
			if (nowMs >= claim.decisionDeadlineMs()) {
				overdue.add(claim);
			}
		}
		overdue.forEach((claim) -> abandon(claim, RETRY_DELAY_MS));
	}

	private void abandon(LocalClaim claim, long retryAfterMs) {
		this.pendingClaims.remove(claim.id());
		boolean mayBeInLog = claim.state() != LocalClaim.State.QUEUED;
		claim.state(LocalClaim.State.ABANDONED);
		if (mayBeInLog) {
			enqueueRelease(claim.key(), claim.id(), LINGER_MS);
		}
		claim.decision().complete(new ClaimDecision.NotRun(retryAfterMs));
	}

	private void append() {
		List<QueuedRecord> batch = new ArrayList<>();
		ClaimBatch.Builder records = ClaimBatch.newBuilder();
		while (!this.queue.isEmpty() && batch.size() < MAX_RECORDS_PER_APPEND) {
			QueuedRecord queued = this.queue.poll();
			if (queued.claim != null && queued.claim.state() != LocalClaim.State.QUEUED) {
				continue;
			}
			batch.add(queued);
			records.addRecords(queued.record);
			if (queued.claim != null) {
				queued.claim.state(LocalClaim.State.SENT);
			}
		}
		this.nextAppendDueMs = this.queue.isEmpty() ? Long.MAX_VALUE : this.clock.monotonicMs();
		if (batch.isEmpty()) {
			return;
		}
		LogRecord record = LogRecord.newBuilder().setId(UUID.randomUUID().toString()).setClaims(records).build();
		this.appending = true;
		this.appendCount++;
		this.platformLog.append(this.stream, record)
			.whenCompleteAsync((offset, failure) -> onAppendCompleted(batch, failure), this.controlExecutor);
	}

	private void onAppendCompleted(List<QueuedRecord> batch, Throwable failure) {
		this.appending = false;
		if (failure == null) {
			return;
		}
		log.debug("claims: append to stream {} failed: {}", this.stream, failure.getMessage());
		this.retryAppendAtMs = this.clock.monotonicMs() + RETRY_DELAY_MS;
		for (int i = batch.size() - 1; i >= 0; i--) {
			if (batch.get(i).claim == null) {
				this.queue.addFirst(batch.get(i));
				this.nextAppendDueMs = this.retryAppendAtMs;
			}
		}
	}

	private void read() {
		this.reading = true;
		this.lastReadMs = this.clock.monotonicMs();
		long from = this.headMovedBack ? this.nextOffset - 1 : this.nextOffset;
		long waitMs = this.pendingClaims.isEmpty() ? 0 : this.readWaitMs;
		this.platformLog.read(this.stream, from, MAX_RECORDS_PER_READ, waitMs)
			.whenCompleteAsync(this::onReadCompleted, this.controlExecutor);
	}

	private void onReadCompleted(LogPage page, Throwable failure) {
		this.reading = false;
		this.lastReadFailed = failure != null;
		if (failure != null) {
			log.debug("claims: read of stream {} failed: {}", this.stream, failure.getMessage());
			return;
		}
		if (page.head() < this.nextOffset) {
			this.headMovedBack = this.nextOffset > 1;
			return;
		}
		if (this.headMovedBack && !startsWithLastRecord(page)) {
			log.warn("claims: stream {} lost records that had been read, up to offset {}", this.stream,
					this.nextOffset - 1);
			restartAt(page.oldest());
			read();
			return;
		}
		this.headMovedBack = false;
		if (page.oldest() > this.nextOffset) {
			log.info("claims: stream {} starts at offset {}; records from offset {} were dropped unread", this.stream,
					page.oldest(), this.nextOffset);
			restartAt(page.oldest());
		}
		page.records().forEach(this::applyRecord);
		if (page.head() > this.nextOffset) {
			read();
		}
	}

	private boolean startsWithLastRecord(LogPage page) {
		return !page.records().isEmpty() && page.records().get(0).getOffset() == this.nextOffset - 1
				&& page.records().get(0).getRecord().getId().equals(this.lastRecordId);
	}

	private void restartAt(long oldest) {
		this.stateMachine = ClaimStateMachine.afterGap();
		this.nextOffset = oldest;
		this.headMovedBack = false;
	}

	private void applyRecord(OffsetRecord record) {
		if (record.getOffset() < this.nextOffset) {
			return;
		}
		this.nextOffset = record.getOffset() + 1;
		this.lastRecordId = record.getRecord().getId();
		for (ClaimRecord claimRecord : record.getRecord().getClaims().getRecordsList()) {
			this.stateMachine.apply(record.getTimeMs(), claimRecord);
			LocalClaim claim = this.pendingClaims.get(claimRecord.getClaim().getId());
			if (claim != null) {
				completeDecision(claim);
			}
		}
	}

	private void completeDecision(LocalClaim claim) {
		ClaimDecision decision = this.stateMachine.decide(claim.key(), claim.claim());
		boolean granted = decision instanceof ClaimDecision.Granted;
		if (granted && !this.stateMachine.knowsAllClaims(claim.claim().getKeyTimeMs())) {
			abandon(claim, ClaimStateMachine.MAX_CLOCK_LEAD_MS);
			return;
		}
		if (granted && this.clock.monotonicMs() >= claim.decisionDeadlineMs()) {
			abandon(claim, RETRY_DELAY_MS);
			return;
		}
		this.pendingClaims.remove(claim.id());
		claim.state(granted ? LocalClaim.State.GRANTED : LocalClaim.State.ABANDONED);
		claim.decision()
			.complete((decision instanceof ClaimDecision.NotRun) ? new ClaimDecision.NotRun(RETRY_DELAY_MS) : decision);
	}

	long appendCount() {
		return this.appendCount;
	}

	/**
	 * A record that waits for the next append.
	 *
	 * @param record the record
	 * @param claim the claim that the record contains, or null for other kinds of record
	 * @param dueMs monotonic time at which the record is due to be appended
	 */
	private record QueuedRecord(ClaimRecord record, LocalClaim claim, long dueMs) {

	}

}
