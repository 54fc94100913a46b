package org.wigeontally.gateway;

import java.util.List;

import io.vertx.core.Handler;
import io.vertx.core.Vertx;

import org.wigeontally.eventlog.EventLog;
import org.wigeontally.eventlog.LogEvent;
import org.wigeontally.fleet.AnnouncedVersions;
import org.wigeontally.fleet.CompactedTopic;
import org.wigeontally.fleet.RestorePolicy;
import org.wigeontally.fleet.StoreKnowledge;
import org.wigeontally.fleet.StorePosition;
import org.wigeontally.fleet.StoreReadPlan;
import org.wigeontally.fleet.StoreUptime;
import org.wigeontally.misc.Clock;
import org.wigeontally.platform.wire.PlatformException;
import org.wigeontally.platform.wire.RecordPage;
import org.wigeontally.platform.wire.StoreClient;
import org.wigeontally.platform.wire.StoreTopic;

/**
 * Keeps the records of one topic up to date with the store: reads a snapshot first, then
 * the following records by long polling. Reads a snapshot again if the store dropped
 * records before they were read. An entry that does not read for its region only reads
 * when what it receives from the others is too old (see {@link StoreReadPlan}).
 *
 * <p>
 * If the store was restored from an older copy, reads a snapshot too, and another one
 * after a grace period in which operators and backend servers write their lost records
 * again (see {@link CompactedTopic}). Runs on the event loop.
 */
final class StoreFollower {

	/**
	 * Maximum wait of a long poll. It bounds the age of the records that the other
	 * entries of the region receive, and the time until a connection that no longer
	 * responds is detected.
	 */
	private static final long POLL_WAIT_MS = 700;

	/** Minimum delay until the age of the records is checked again. */
	private static final long MIN_CHECK_DELAY_MS = 20;

	private static final long RETRY_DELAY_MS = 150;

	private static final long NOT_SCHEDULED = Long.MAX_VALUE;

	private static final long MAX_RETRY_DELAY_MS = 600;

	/** Bytes of a response from which on the entries of the region wait for it. */
	private static final int LARGE_RESPONSE_BYTES = 16 * 1024;

	/** Time without further bytes after which they no longer wait. */
	private static final long MAX_RECEIVE_PAUSE_MS = 600;

	private final Vertx vertx;

	private final Clock clock;

	private final EventLog log;

	private final StoreClient store;

	private final StoreTopic topic;

	private final CompactedTopic records;

	private final long readPauseMs;

	private final RegionSupply region;

	private final RestoreBehaviour restore;

	private final RecordsListener listener;

	private final Runnable storeRegained;

	private boolean snapshotNeeded = true;

	// Until the store's first answer.
	private boolean starting = true;

	private int failures;

	private long lastResponseAtMs;

	private long callStartedAtMs;

	// Start of the last call that failed. Either the store was down for all entries
	// then, or other entries know when later records were written.
	private long lastFailedCallAtMs;

	private StoreKnowledge knowledge;

	private StoreUptime uptime = StoreUptime.unknown();

	private long outageBeganAtMs;

	private long knownBeforeMs;

	// Whether the last call was a successful long poll, so that the next one starts
	// where it ended.
	private boolean polling;

	private boolean hasAnswered;

	private long settleAtMs = NOT_SCHEDULED;

	// Whether the step that runs now has planned the next read.
	private boolean readPlanned;

	private boolean stopped;

	private final long startedAtMs;

	// End of the records at which the pending call is of use.
	private long neededUpTo = Long.MAX_VALUE;

	private int announcedBytes;

	private long lastReceivedAtMs;

	StoreFollower(Vertx vertx, Clock clock, EventLog log, StoreClient store, StoreTopic topic, CompactedTopic records,
			long readPauseMs, RegionSupply region, RestoreBehaviour restore, RecordsListener listener,
			Runnable storeRegained) {
		this.vertx = vertx;
		this.clock = clock;
		this.log = log;
		this.store = store;
		this.topic = topic;
		this.records = records;
		this.readPauseMs = readPauseMs;
		this.region = region;
		this.restore = restore;
		this.listener = listener;
		this.storeRegained = storeRegained;
		this.startedAtMs = clock.monotonicMs();
		this.lastReceivedAtMs = this.startedAtMs - MAX_RECEIVE_PAUSE_MS;
		this.lastResponseAtMs = this.startedAtMs;
		this.lastFailedCallAtMs = this.lastResponseAtMs;
		this.knowledge = StoreKnowledge.startedAt(this.lastResponseAtMs);
		this.knownBeforeMs = this.lastResponseAtMs;
	}

	void start() {
		goingOn((v) -> readNext()).handle(null);
	}

	void stop() {
		this.stopped = true;
	}

	/**
	 * Returns the age of the knowledge of the topic, whether it comes from the store or
	 * from another entry.
	 * @return milliseconds
	 */
	long ageMs() {
		return this.clock.monotonicMs() - this.knowledge.asOfMs();
	}

	/**
	 * Records that another entry sent all records that the store had at some time.
	 * @param asOfMs the time
	 */
	void recordKnownAsOf(long asOfMs) {
		this.knowledge = this.knowledge.knownAsOf(asOfMs);
		updateUptime(this.uptime.suppliedAsOf(asOfMs, this.clock.monotonicMs()));
	}

	/**
	 * Records since when another entry knows the store to be up. Entries of the previous
	 * release do not tell it; an outage that they saw is told by their grace period.
	 * @param durationMs time since the begin of the period that it knows; 0 if not told
	 * @param ageMs age of the newest answer of the store that it knows
	 * @param askedAtMs when this entry asked it
	 */
	void recordUptimeTold(long durationMs, long ageMs, long askedAtMs) {
		StoreUptime newest = this.uptime.told(durationMs, ageMs, askedAtMs, this.clock.monotonicMs());
		if (durationMs > 0) {
			updateUptime(newest);
		}
		else {
			this.uptime = newest;
		}
	}

	private void updateUptime(StoreUptime newest) {
		StoreUptime before = this.uptime;
		this.uptime = newest;
		if (newest.isAfterOutage(before)) {
			this.outageBeganAtMs = before.lastMs();
			this.storeRegained.run();
		}
	}

	/**
	 * Returns since when the store is up, by its answers to this entry and to others.
	 * @return the period
	 */
	StoreUptime uptime() {
		return this.uptime;
	}

	/**
	 * Returns when the last outage of the store may have begun.
	 * @return the last time before it at which the store was up
	 */
	long outageBeganAtMs() {
		return this.outageBeganAtMs;
	}

	/**
	 * Returns the knowledge of the topic, whether it comes from the store or from another
	 * entry.
	 * @return the knowledge
	 */
	StoreKnowledge knowledge() {
		return this.knowledge;
	}

	/**
	 * Returns the time as of which all records were known before the last successful
	 * call.
	 * @return the time; the start of this process if there is none
	 */
	long knownBeforeMs() {
		return this.knownBeforeMs;
	}

	/**
	 * Returns when the last failed call to the store was made.
	 * @return start of the call; start of this process if none failed
	 */
	long lastFailedCallAtMs() {
		return this.lastFailedCallAtMs;
	}

	/**
	 * Returns the age of the knowledge of the topic for other entries.
	 * @return milliseconds
	 */
	long toldAgeMs() {
		return this.knowledge.toldAgeMs(this.clock.monotonicMs());
	}

	boolean isStoreReachable() {
		return this.failures == 0;
	}

	/**
	 * Returns whether a large response of the store is arriving.
	 * @return true if some of it arrived lately
	 */
	boolean isReceiving() {
		return this.announcedBytes > 0 && this.clock.monotonicMs() - this.lastReceivedAtMs < MAX_RECEIVE_PAUSE_MS;
	}

	private void readNext() {
		if (this.stopped) {
			return;
		}
		// Another entry may have sent all records meanwhile.
		if (this.snapshotNeeded && this.records.endPosition() > 0 && (this.failures > 0 || this.starting)) {
			this.snapshotNeeded = false;
		}
		boolean snapshotDue = this.snapshotNeeded || isSettlementDue();
		int rank = this.region.rank();
		long delayMs = snapshotDue ? snapshotDelayMs(rank)
				: StoreReadPlan.readDelayMs(rank, ageMs(), this.region.isReceiving());
		if (delayMs > 0) {
			this.polling = false;
			scheduleNextRead(Math.max(MIN_CHECK_DELAY_MS, delayMs));
			return;
		}
		this.callStartedAtMs = this.clock.monotonicMs();
		this.announcedBytes = 0;
		boolean othersHaveTheSame = this.region.sharesLargeRecords() && (!snapshotDue || this.starting);
		this.neededUpTo = othersHaveTheSame ? this.records.endPosition() : Long.MAX_VALUE;
		if (snapshotDue) {
			this.store.readSnapshot(this.topic, this::recordProgress)
				.onSuccess(goingOn(this::applySnapshot))
				.onFailure(goingOn(this::recordFailure));
			return;
		}
		long start = this.records.endPosition();
		long waitMs = (rank == 0) ? POLL_WAIT_MS : 0;
		this.store.read(this.topic, start, waitMs, this::recordProgress)
			.onSuccess(goingOn((page) -> applyUpdate(start, page, waitMs)))
			.onFailure(goingOn(this::recordFailure));
	}

	// Only at the start others may have what the snapshot holds. Later, it is needed
	// because the store dropped records or was restored.
	private long snapshotDelayMs(int rank) {
		if (!this.starting) {
			return 0;
		}
		long waitedMs = this.clock.monotonicMs() - this.startedAtMs;
		return StoreReadPlan.firstReadDelayMs(rank, waitedMs, this.region.hasRecords(), this.region.isReceiving());
	}

	// Returns false if an entry that comes before this one receives the same, or has sent
	// it meanwhile.
	private boolean recordProgress(int receivedBytes) {
		if (receivedBytes < LARGE_RESPONSE_BYTES) {
			return true;
		}
		this.lastReceivedAtMs = this.clock.monotonicMs();
		boolean first = this.announcedBytes == 0;
		this.announcedBytes = receivedBytes;
		if (first) {
			this.region.announceReceiving();
		}
		boolean neededFromStore = this.neededUpTo == Long.MAX_VALUE;
		return neededFromStore
				|| (this.records.endPosition() <= this.neededUpTo && !this.region.isReceivedByEarlierEntry());
	}

	// The restore may also be known from another entry, before this follower read
	// anything of the new era.
	private boolean isSettlementDue() {
		if (!this.records.isSettlementNeeded()) {
			return false;
		}
		if (this.settleAtMs == NOT_SCHEDULED) {
			this.settleAtMs = this.clock.monotonicMs() + this.restore.graceMs();
		}
		return this.clock.monotonicMs() >= this.settleAtMs;
	}

	private void applySnapshot(RecordPage page) {
		if (isOfEarlierEra(page)) {
			recordFailure(new IllegalStateException("snapshot is of an earlier era of the store"));
			return;
		}
		this.snapshotNeeded = false;
		long sinceMs = this.hasAnswered ? earliestChangeMs() : AnnouncedVersions.UNKNOWN_TIME_MS;
		boolean restored = this.records.isOfLaterEra(page.endPosition());
		boolean outdated = page.endPosition() < this.records.endPosition();
		List<String> keys;
		if (restored) {
			keys = this.records.applyRestoredSnapshot(page.records(), page.endPosition(), this.restore.policy());
			this.settleAtMs = this.clock.monotonicMs() + this.restore.graceMs();
			this.log.write(LogEvent.STORE_RESTORED, "topic", this.topic, "end",
					StorePosition.format(page.endPosition()));
		}
		else if (isSettlementDue()) {
			keys = this.records.settle(page.records(), page.endPosition(), this.restore.policy());
			this.settleAtMs = NOT_SCHEDULED;
		}
		else {
			keys = this.records.applySnapshot(page.records(), page.endPosition());
		}
		// A snapshot that lags behind what is known does not show what the store has now.
		recordSuccess(outdated ? this.knowledge.asOfMs() : this.callStartedAtMs, 0);
		if (restored) {
			this.restore.storeRestored().run();
		}
		this.listener.recordsChanged(keys, "store", sinceMs);
		scheduleNextRead(outdated ? RETRY_DELAY_MS : this.readPauseMs);
	}

	private boolean isOfEarlierEra(RecordPage page) {
		return StorePosition.era(page.endPosition()) < StorePosition.era(this.records.endPosition());
	}

	private void applyUpdate(long start, RecordPage page, long waitMs) {
		if (isOfEarlierEra(page)) {
			recordFailure(new IllegalStateException("records are of an earlier era of the store"));
			return;
		}
		if (this.records.isOfLaterEra(page.endPosition())) {
			// The offset of the request was one of the earlier era.
			this.snapshotNeeded = true;
			this.starting = false;
			this.failures = 0;
			scheduleNextRead(0);
			return;
		}
		// A poll that follows a successful one returns as soon as there is a new
		// record.
		long sinceMs = this.polling ? this.clock.monotonicMs() : earliestChangeMs();
		// The store responds without records only at the end of the wait.
		long waitedMs = page.records().isEmpty() ? waitMs : 0;
		List<String> keys = this.records.applyUpdate(start, page.records(), page.endPosition());
		recordSuccess(this.callStartedAtMs + waitedMs, waitMs);
		if (!keys.isEmpty()) {
			this.listener.recordsChanged(keys, "store", sinceMs);
		}
		scheduleNextRead(page.records().isEmpty() ? 0 : this.readPauseMs);
	}

	// No record was acknowledged while the store was down for all entries, so new
	// records are from after the last failed call. If it was down for this host only,
	// other entries report when they first saw the records.
	private long earliestChangeMs() {
		return Math.max(this.knowledge.asOfMs(), this.lastFailedCallAtMs);
	}

	private void recordSuccess(long asOfMs, long waitMs) {
		this.announcedBytes = 0;
		this.starting = false;
		if (this.failures > 1) {
			this.log.write(LogEvent.STORE_REGAINED, "topic", this.topic, "away-ms",
					this.clock.monotonicMs() - this.lastResponseAtMs);
		}
		this.failures = 0;
		this.polling = true;
		this.knownBeforeMs = this.knowledge.asOfMs();
		updateUptime(this.uptime.answered(this.callStartedAtMs, waitMs, this.clock.monotonicMs()));
		recordKnownAsOf(asOfMs);
		this.hasAnswered = true;
		this.lastResponseAtMs = this.clock.monotonicMs();
	}

	private void recordFailure(Throwable failure) {
		this.announcedBytes = 0;
		if (failure instanceof PlatformException platform && platform.areRecordsGone()) {
			this.snapshotNeeded = true;
			this.starting = false;
			this.failures = 0;
			scheduleNextRead(0);
			return;
		}
		if (failure instanceof PlatformException platform && platform.isGivenUp()) {
			this.polling = false;
			scheduleNextRead(RETRY_DELAY_MS);
			return;
		}
		this.failures++;
		this.polling = false;
		this.lastFailedCallAtMs = this.callStartedAtMs;
		if (this.failures == 2) {
			this.log.write(LogEvent.STORE_LOST, "topic", this.topic, "age-ms", ageMs(), "reason", failure.getMessage());
		}
		scheduleNextRead(Math.min(MAX_RETRY_DELAY_MS, RETRY_DELAY_MS * this.failures));
	}

	private void scheduleNextRead(long delayMs) {
		if (this.stopped) {
			return;
		}
		this.readPlanned = true;
		if (delayMs <= 0) {
			this.vertx.runOnContext(goingOn((v) -> readNext()));
			return;
		}
		this.vertx.setTimer(delayMs, goingOn((id) -> readNext()));
	}

	// Each step plans the next one. Whatever it throws, an Error too, must not end the
	// reading.
	private <T> Handler<T> goingOn(Handler<T> step) {
		return (value) -> {
			this.readPlanned = false;
			try {
				step.handle(value);
			}
			catch (Throwable ex) {
				if (!this.readPlanned) {
					scheduleNextRead(MAX_RETRY_DELAY_MS);
				}
				this.log.write(LogEvent.FAULT, "topic", this.topic, "reason", ex);
			}
		};
	}

	/**
	 * What happens when the store was restored from an older copy.
	 *
	 * @param graceMs time in which lost records are written again
	 * @param policy decides between restored and known records
	 * @param storeRestored runs after the first snapshot of the restored store
	 */
	record RestoreBehaviour(long graceMs, RestorePolicy policy, Runnable storeRestored) {

	}

}
