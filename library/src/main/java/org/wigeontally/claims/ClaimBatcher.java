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
 * Appends and follows one partition's stream of claims.
 * <p>
 * The log takes a few hundred appends a second, so records wait {@link #LINGER_MS} and go
 * out together, one append in flight. The reply to an append settles nothing: a claim is
 * settled when its record is read back in the stream, because only then all earlier
 * claims of its key are known. A lost reply therefore costs nothing, and an append whose
 * reply was lost is never repeated for its claims. Outcomes and releases are repeated;
 * folding them twice changes nothing.
 * <p>
 * A claim that was not read back in time is given up: it is marked, so that it is never
 * dispatched, the caller is told "not run", and its release is appended until the log
 * takes it, so that the next sending of the key can win.
 * <p>
 * The stream is followed without gaps from the oldest record kept. If the log lost
 * records that were read, or dropped records that were not, {@link ClaimFold#covers}
 * keeps keys from before that from being won here. A head below what was read may be an
 * old head served late or a log that came back shorter; the last record read tells which,
 * once it is reached again.
 * <p>
 * Used on the control context; replies of the log are brought there first.
 */
final class ClaimBatcher {

	static final long LINGER_MS = 20;

	static final long OUTCOME_LINGER_MS = 100;

	static final int MAX_RECORDS_PER_APPEND = 500;

	static final int MAX_QUEUED = 4 * MAX_RECORDS_PER_APPEND;

	static final int MAX_RECORDS_PER_READ = 200;

	static final long RETRY_MS = 500;

	static final long IDLE_READ_MS = 1000;

	private static final Logger log = LoggerFactory.getLogger(ClaimBatcher.class);

	private final PlatformLog platform;

	private final Clock clock;

	private final Executor control;

	private final String stream;

	private final long readWaitMs;

	private final Deque<Queued> queue = new ArrayDeque<>();

	private final Map<String, OwnClaim> unsettled = new HashMap<>();

	private ClaimFold fold = ClaimFold.fromBeginning();

	private long next = 1;

	private String lastRead = "";

	private boolean headWentBack;

	private boolean appending;

	private boolean reading;

	private long dueMs = Long.MAX_VALUE;

	private long retryAtMs = Long.MIN_VALUE;

	private long lastReadMs = Long.MIN_VALUE;

	private long appends;

	ClaimBatcher(PlatformLog platform, Clock clock, Executor control, int partition, long readWaitMs) {
		this.platform = platform;
		this.clock = clock;
		this.control = control;
		this.stream = ClaimKey.stream(partition);
		this.readWaitMs = readWaitMs;
	}

	boolean takesClaims() {
		return this.clock.monotonicMs() >= this.retryAtMs && this.queue.size() < MAX_QUEUED;
	}

	void claim(OwnClaim own) {
		this.unsettled.put(own.id(), own);
		ClaimRecord record = ClaimRecord.newBuilder().setKey(own.key().bytes()).setClaim(own.claim()).build();
		enqueue(new Queued(record, own, this.clock.monotonicMs() + LINGER_MS));
	}

	void release(ClaimKey key, String claim, long lingerMs) {
		Release release = Release.newBuilder().setClaim(claim).build();
		add(ClaimRecord.newBuilder().setKey(key.bytes()).setRelease(release).build(), lingerMs);
	}

	void add(ClaimRecord record, long lingerMs) {
		enqueue(new Queued(record, null, this.clock.monotonicMs() + lingerMs));
	}

	void tick() {
		long nowMs = this.clock.monotonicMs();
		giveUpLate(nowMs);
		if (!this.appending && nowMs >= this.retryAtMs && due(nowMs)) {
			append();
		}
		boolean idle = this.unsettled.isEmpty() && nowMs - IDLE_READ_MS < this.lastReadMs;
		if (!this.reading && !idle) {
			read();
		}
	}

	private boolean due(long nowMs) {
		return this.queue.size() >= MAX_RECORDS_PER_APPEND || nowMs >= this.dueMs;
	}

	private void enqueue(Queued queued) {
		this.queue.add(queued);
		this.dueMs = Math.min(this.dueMs, queued.dueMs);
	}

	private void giveUpLate(long nowMs) {
		List<OwnClaim> late = new ArrayList<>();
		for (OwnClaim own : this.unsettled.values()) {
			if (nowMs >= own.settleByMs()) {
				late.add(own);
			}
		}
		late.forEach((own) -> giveUp(own, RETRY_MS));
	}

	private void giveUp(OwnClaim own, long retryAfterMs) {
		this.unsettled.remove(own.id());
		boolean mayBeInLog = own.state() != OwnClaim.State.QUEUED;
		own.state(OwnClaim.State.GIVEN_UP);
		if (mayBeInLog) {
			release(own.key(), own.id(), LINGER_MS);
		}
		own.decision().complete(new ClaimDecision.Unsettled(retryAfterMs));
	}

	private void append() {
		List<Queued> batch = new ArrayList<>();
		ClaimBatch.Builder records = ClaimBatch.newBuilder();
		while (!this.queue.isEmpty() && batch.size() < MAX_RECORDS_PER_APPEND) {
			Queued queued = this.queue.poll();
			if (queued.own != null && queued.own.state() != OwnClaim.State.QUEUED) {
				continue;
			}
			batch.add(queued);
			records.addRecords(queued.record);
			if (queued.own != null) {
				queued.own.state(OwnClaim.State.SENT);
			}
		}
		this.dueMs = this.queue.isEmpty() ? Long.MAX_VALUE : this.clock.monotonicMs();
		if (batch.isEmpty()) {
			return;
		}
		LogRecord record = LogRecord.newBuilder().setId(UUID.randomUUID().toString()).setClaims(records).build();
		this.appending = true;
		this.appends++;
		this.platform.append(this.stream, record)
			.whenCompleteAsync((offset, failure) -> appended(batch, failure), this.control);
	}

	private void appended(List<Queued> batch, Throwable failure) {
		this.appending = false;
		if (failure == null) {
			return;
		}
		log.debug("claims: append to {} failed: {}", this.stream, failure.getMessage());
		this.retryAtMs = this.clock.monotonicMs() + RETRY_MS;
		for (int i = batch.size() - 1; i >= 0; i--) {
			if (batch.get(i).own == null) {
				this.queue.addFirst(batch.get(i));
				this.dueMs = this.retryAtMs;
			}
		}
	}

	private void read() {
		this.reading = true;
		this.lastReadMs = this.clock.monotonicMs();
		long from = this.headWentBack ? this.next - 1 : this.next;
		long waitMs = this.unsettled.isEmpty() ? 0 : this.readWaitMs;
		this.platform.read(this.stream, from, MAX_RECORDS_PER_READ, waitMs)
			.whenCompleteAsync(this::pageRead, this.control);
	}

	private void pageRead(LogPage page, Throwable failure) {
		this.reading = false;
		if (failure != null) {
			log.debug("claims: read of {} failed: {}", this.stream, failure.getMessage());
			return;
		}
		if (page.head() < this.next) {
			this.headWentBack = this.next > 1;
			return;
		}
		if (this.headWentBack && !isSameStream(page)) {
			log.warn("claims: {} lost records that were read up to offset {}", this.stream, this.next - 1);
			restartAt(page.oldest());
			read();
			return;
		}
		this.headWentBack = false;
		if (page.oldest() > this.next) {
			log.info("claims: {} starts at offset {}, {} was not read", this.stream, page.oldest(), this.next);
			restartAt(page.oldest());
		}
		page.records().forEach(this::fold);
		if (page.head() > this.next) {
			read();
		}
	}

	private boolean isSameStream(LogPage page) {
		return !page.records().isEmpty() && page.records().get(0).getOffset() == this.next - 1
				&& page.records().get(0).getRecord().getId().equals(this.lastRead);
	}

	private void restartAt(long oldest) {
		this.fold = ClaimFold.afterGap();
		this.next = oldest;
		this.headWentBack = false;
	}

	private void fold(OffsetRecord record) {
		if (record.getOffset() < this.next) {
			return;
		}
		this.next = record.getOffset() + 1;
		this.lastRead = record.getRecord().getId();
		for (ClaimRecord each : record.getRecord().getClaims().getRecordsList()) {
			this.fold.apply(record.getTimeMs(), each);
			OwnClaim own = this.unsettled.get(each.getClaim().getId());
			if (own != null) {
				settle(own);
			}
		}
	}

	private void settle(OwnClaim own) {
		ClaimDecision decision = this.fold.decide(own.key(), own.claim());
		boolean won = decision instanceof ClaimDecision.Won;
		if (won && !this.fold.covers(own.claim().getKeyTimeMs())) {
			giveUp(own, ClaimFold.MAX_AHEAD_MS);
			return;
		}
		if (won && this.clock.monotonicMs() >= own.settleByMs()) {
			giveUp(own, RETRY_MS);
			return;
		}
		this.unsettled.remove(own.id());
		own.state(won ? OwnClaim.State.WON : OwnClaim.State.GIVEN_UP);
		own.decision()
			.complete((decision instanceof ClaimDecision.Unsettled) ? new ClaimDecision.Unsettled(RETRY_MS) : decision);
	}

	long appends() {
		return this.appends;
	}

	/**
	 * A record that waits for the next append.
	 *
	 * @param record the record
	 * @param own the claim in it, or null for another kind of record
	 * @param dueMs monotonic time at which it goes out
	 */
	private record Queued(ClaimRecord record, OwnClaim own, long dueMs) {

	}

}
