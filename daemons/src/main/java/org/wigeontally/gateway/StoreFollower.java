package org.wigeontally.gateway;

import java.util.List;

import io.vertx.core.Vertx;

import org.wigeontally.eventlog.EventLog;
import org.wigeontally.eventlog.LogEvent;
import org.wigeontally.fleet.AnnouncedVersions;
import org.wigeontally.fleet.CompactedTopic;
import org.wigeontally.misc.Clock;
import org.wigeontally.platform.wire.PlatformException;
import org.wigeontally.platform.wire.RecordPage;
import org.wigeontally.platform.wire.StoreClient;
import org.wigeontally.platform.wire.StoreTopic;

/**
 * Keeps the records of one topic up to date with the store: a snapshot first, then what
 * follows it by long polls; a snapshot again when records were dropped before they were
 * read. Runs on the event loop.
 */
final class StoreFollower {

	/** Longest wait of a poll; a connection that fell silent is noticed after it. */
	private static final long POLL_WAIT_MS = 1_000;

	private static final long FIRST_PAUSE_MS = 150;

	private static final long LONGEST_PAUSE_MS = 600;

	private final Vertx vertx;

	private final Clock clock;

	private final EventLog log;

	private final StoreClient store;

	private final StoreTopic topic;

	private final CompactedTopic records;

	private final long gapMs;

	private final RecordsListener changed;

	private final Runnable regained;

	private boolean snapshotNeeded = true;

	private int failures;

	private long okAtMs;

	private long callStartMs;

	// Start of the last call that failed: the store served nobody then, or others know
	// more.
	private long failedCallMs;

	private boolean everAnswered;

	private boolean stopped;

	StoreFollower(Vertx vertx, Clock clock, EventLog log, StoreClient store, StoreTopic topic, CompactedTopic records,
			long gapMs, RecordsListener changed, Runnable regained) {
		this.vertx = vertx;
		this.clock = clock;
		this.log = log;
		this.store = store;
		this.topic = topic;
		this.records = records;
		this.gapMs = gapMs;
		this.changed = changed;
		this.regained = regained;
		this.okAtMs = clock.monotonicMs();
		this.failedCallMs = this.okAtMs;
	}

	void start() {
		next();
	}

	void stop() {
		this.stopped = true;
	}

	/**
	 * Returns how long ago the store last answered.
	 * @return milliseconds
	 */
	long storeAgeMs() {
		return this.clock.monotonicMs() - this.okAtMs;
	}

	private void next() {
		if (this.stopped) {
			return;
		}
		// Another entry may have brought a snapshot meanwhile.
		if (this.snapshotNeeded && this.failures > 0 && this.records.endOffset() > 0) {
			this.snapshotNeeded = false;
		}
		this.callStartMs = this.clock.monotonicMs();
		if (this.snapshotNeeded) {
			this.store.newest(this.topic).onSuccess(this::snapshot).onFailure(this::failed);
			return;
		}
		long from = this.records.endOffset();
		this.store.read(this.topic, from, POLL_WAIT_MS).onSuccess((page) -> update(from, page)).onFailure(this::failed);
	}

	private void snapshot(RecordPage page) {
		this.snapshotNeeded = false;
		long sinceMs = this.everAnswered ? unchangedUntilMs() : AnnouncedVersions.UNKNOWN_TIME_MS;
		List<String> keys = this.records.applySnapshot(page.records(), page.end());
		answered();
		this.changed.recordsChanged(keys, "store", sinceMs);
		pause(this.gapMs);
	}

	private void update(long from, RecordPage page) {
		// A poll that follows another one returns as soon as there is a record.
		long sinceMs = (this.failures > 0) ? unchangedUntilMs() : this.clock.monotonicMs();
		List<String> keys = this.records.applyUpdate(from, page.records(), page.end());
		answered();
		if (!keys.isEmpty()) {
			this.changed.recordsChanged(keys, "store", sinceMs);
		}
		pause(page.records().isEmpty() ? 0 : this.gapMs);
	}

	// What is new was not acknowledged while the store was away for all. If it was away
	// for this host only, other entries tell the time at which they saw it.
	private long unchangedUntilMs() {
		return Math.max(this.okAtMs, this.failedCallMs);
	}

	private void answered() {
		if (this.failures > 1) {
			this.log.write(LogEvent.STORE_REGAINED, "topic", this.topic, "away-ms", storeAgeMs());
			this.regained.run();
		}
		this.failures = 0;
		this.everAnswered = true;
		this.okAtMs = this.clock.monotonicMs();
	}

	private void failed(Throwable failure) {
		if (failure instanceof PlatformException platform && platform.recordsGone()) {
			this.snapshotNeeded = true;
			this.failures = 0;
			pause(0);
			return;
		}
		this.failures++;
		this.failedCallMs = this.callStartMs;
		if (this.failures == 2) {
			this.log.write(LogEvent.STORE_LOST, "topic", this.topic, "age-ms", storeAgeMs(), "reason",
					failure.getMessage());
		}
		pause(Math.min(LONGEST_PAUSE_MS, FIRST_PAUSE_MS * this.failures));
	}

	private void pause(long ms) {
		if (this.stopped) {
			return;
		}
		if (ms <= 0) {
			this.vertx.runOnContext((v) -> next());
			return;
		}
		this.vertx.setTimer(ms, (id) -> next());
	}

}
