package org.wigeontally.control;

import java.util.ArrayList;
import java.util.List;
import java.util.function.BooleanSupplier;

import io.vertx.core.Context;
import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.Vertx;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

import org.wigeontally.log.LogPage;
import org.wigeontally.log.PlatformLog;
import org.wigeontally.misc.Clock;
import org.wigeontally.replication.LogCursor;

/**
 * Reads the configuration stream by long polls and hands the pages to a cursor. Runs on
 * the control context.
 */
final class LogFollower {

	private static final Logger log = LoggerFactory.getLogger(LogFollower.class);

	private static final long POLL_MS = 300;

	private static final long RETRY_MS = 200;

	private static final long ALARM_EVERY_MS = 5000;

	private static final long FRESH_MS = 1000;

	private static final int PAGE_RECORDS = 500;

	private final Vertx vertx;

	private final Context context;

	private final PlatformLog platformLog;

	private final LogCursor cursor;

	private final Clock clock;

	private final BooleanSupplier wanted;

	private final List<Sync> syncs = new ArrayList<>();

	private long caughtUpAtMs = Long.MIN_VALUE / 2;

	private long alarmAtMs = Long.MIN_VALUE / 2;

	private boolean closed;

	LogFollower(Vertx vertx, PlatformLog platformLog, LogCursor cursor, Clock clock, BooleanSupplier wanted) {
		this.vertx = vertx;
		this.context = vertx.getOrCreateContext();
		this.platformLog = platformLog;
		this.cursor = cursor;
		this.clock = clock;
		this.wanted = wanted;
	}

	void start() {
		if (this.closed) {
			return;
		}
		if (!this.wanted.getAsBoolean()) {
			this.vertx.setTimer(RETRY_MS, (id) -> start());
			return;
		}
		read(this.cursor.mustReadImmediately() ? 0 : POLL_MS).onComplete((delayMs, failure) -> {
			if (delayMs == 0) {
				start();
			}
			else {
				this.vertx.setTimer(delayMs, (id) -> start());
			}
		});
	}

	/**
	 * Reads once.
	 * @param waitMs longest wait for a record, in milliseconds
	 * @return the delay before the next read, in milliseconds
	 */
	private Future<Long> read(long waitMs) {
		Promise<Long> delay = Promise.promise();
		long sentAtMs = this.clock.monotonicMs();
		long from = this.cursor.nextOffset();
		Future.succeededFuture()
			.compose((start) -> Future.fromCompletionStage(
					this.platformLog.read(PlatformLog.CONFIGURATION, from, PAGE_RECORDS, waitMs), this.context))
			.onComplete((page, failure) -> {
				if (failure != null) {
					this.cursor.recordFailure();
				}
				delay.complete((failure != null) ? RETRY_MS : take(sentAtMs, from, page));
			});
		return delay.future();
	}

	private long take(long sentAtMs, long from, LogPage page) {
		LogCursor.Outcome outcome = this.cursor.handlePage(sentAtMs, from, page);
		switch (outcome) {
			case CAUGHT_UP -> {
				this.caughtUpAtMs = this.clock.monotonicMs();
				completeSyncs(sentAtMs);
				return (page.records().isEmpty() && this.clock.monotonicMs() - sentAtMs < POLL_MS / 2) ? RETRY_MS : 0;
			}
			case BEHIND -> {
				return page.records().isEmpty() ? RETRY_MS : 0;
			}
			default -> {
				alarm(outcome, page);
				return RETRY_MS;
			}
		}
	}

	private void alarm(LogCursor.Outcome outcome, LogPage page) {
		if (this.clock.monotonicMs() - this.alarmAtMs < ALARM_EVERY_MS) {
			return;
		}
		this.alarmAtMs = this.clock.monotonicMs();
		switch (outcome) {
			case STALE_HEAD -> log.warn("control: the log's head {} is below what was read before", page.head());
			case FORKED -> log.error("control: the log lost records that were read before; it is no longer followed");
			default ->
				log.warn("control: records before offset {} are gone and no checkpoint covers them", page.oldest());
		}
	}

	private void completeSyncs(long sentAtMs) {
		List<Sync> due = new ArrayList<>();
		for (Sync sync : this.syncs) {
			if (sync.sinceMs() <= sentAtMs) {
				due.add(sync);
			}
		}
		this.syncs.removeAll(due);
		due.forEach((sync) -> sync.promise().tryComplete());
	}

	/**
	 * Completes when all that was in the log at the call is folded.
	 * @param timeoutMs longest wait, in milliseconds
	 * @return a future that fails if that could not be reached in time
	 */
	Future<Void> sync(long timeoutMs) {
		Sync sync = new Sync(this.clock.monotonicMs(), Promise.promise());
		this.syncs.add(sync);
		long timer = this.vertx.setTimer(timeoutMs, (id) -> {
			this.syncs.remove(sync);
			sync.promise().tryFail("the log could not be read");
		});
		readUntil(sync);
		return sync.promise().future().onComplete((done) -> this.vertx.cancelTimer(timer));
	}

	private void readUntil(Sync sync) {
		if (!this.syncs.contains(sync)) {
			return;
		}
		read(0).onSuccess((delayMs) -> this.vertx.setTimer(Math.max(1, delayMs), (id) -> readUntil(sync)));
	}

	/**
	 * Tells whether the log was read to its head lately.
	 * @return true if it was
	 */
	boolean fresh() {
		return this.clock.monotonicMs() - this.caughtUpAtMs < FRESH_MS;
	}

	void close() {
		this.closed = true;
	}

	private record Sync(long sinceMs, Promise<Void> promise) {

	}

}
