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
 * Reads the configuration stream of the log by long polling and passes the pages to a
 * {@link LogCursor}. Runs on the control context.
 */
final class LogFollower {

	private static final Logger logger = LoggerFactory.getLogger(LogFollower.class);

	private static final long LONG_POLL_MS = 300;

	private static final long RETRY_DELAY_MS = 200;

	private static final long WARNING_INTERVAL_MS = 5000;

	private static final long CAUGHT_UP_WINDOW_MS = 1000;

	private static final int MAX_PAGE_RECORDS = 500;

	private final Vertx vertx;

	private final Context context;

	private final PlatformLog platformLog;

	private final LogCursor cursor;

	private final Clock clock;

	private final BooleanSupplier shouldRead;

	private final List<Sync> pendingSyncs = new ArrayList<>();

	private long lastCaughtUpMs = Long.MIN_VALUE / 2;

	private long lastWarningMs = Long.MIN_VALUE / 2;

	private boolean closed;

	LogFollower(Vertx vertx, PlatformLog platformLog, LogCursor cursor, Clock clock, BooleanSupplier shouldRead) {
		this.vertx = vertx;
		this.context = vertx.getOrCreateContext();
		this.platformLog = platformLog;
		this.cursor = cursor;
		this.clock = clock;
		this.shouldRead = shouldRead;
	}

	/**
	 * Reads the log repeatedly until the follower is closed. Whatever a step throws must
	 * not end the reading.
	 */
	void start() {
		try {
			readNext();
		}
		catch (RuntimeException | VirtualMachineError ex) {
			this.vertx.setTimer(RETRY_DELAY_MS, (id) -> start());
			logger.warn("control: the log was not read; retrying: {}", ex.toString());
		}
	}

	private void readNext() {
		if (this.closed) {
			return;
		}
		if (!this.shouldRead.getAsBoolean()) {
			this.vertx.setTimer(RETRY_DELAY_MS, (id) -> start());
			return;
		}
		read(this.cursor.mustReadImmediately() ? 0 : LONG_POLL_MS).onComplete((delayMs, failure) -> {
			if (failure == null && delayMs == 0) {
				start();
			}
			else {
				this.vertx.setTimer((failure != null) ? RETRY_DELAY_MS : delayMs, (id) -> start());
			}
		});
	}

	/**
	 * Reads one page.
	 * @param waitMs maximum time that the log waits for a record, in milliseconds
	 * @return the delay before the next read, in milliseconds
	 */
	private Future<Long> read(long waitMs) {
		long sentAtMs = this.clock.monotonicMs();
		long fromOffset = this.cursor.nextOffset();
		return Future.succeededFuture()
			.compose((unused) -> Future.fromCompletionStage(
					this.platformLog.read(PlatformLog.CONFIGURATION, fromOffset, MAX_PAGE_RECORDS, waitMs),
					this.context))
			.map((page) -> handlePage(sentAtMs, fromOffset, page))
			.otherwise(this::recordFailure);
	}

	private long recordFailure(Throwable failure) {
		this.cursor.recordFailure();
		if (isWarningDue()) {
			logger.warn("control: reading the log failed; retrying: {}", failure.toString());
		}
		return RETRY_DELAY_MS;
	}

	private long handlePage(long sentAtMs, long fromOffset, LogPage page) {
		LogCursor.Outcome outcome = this.cursor.handlePage(sentAtMs, fromOffset, page);
		switch (outcome) {
			case CAUGHT_UP -> {
				this.lastCaughtUpMs = this.clock.monotonicMs();
				completeSyncs(sentAtMs);
				return (page.records().isEmpty() && this.clock.monotonicMs() - sentAtMs < LONG_POLL_MS / 2)
						? RETRY_DELAY_MS : 0;
			}
			case BEHIND -> {
				return page.records().isEmpty() ? RETRY_DELAY_MS : 0;
			}
			default -> {
				logWarning(outcome, page);
				return RETRY_DELAY_MS;
			}
		}
	}

	private void logWarning(LogCursor.Outcome outcome, LogPage page) {
		if (!isWarningDue()) {
			return;
		}
		switch (outcome) {
			case STALE_HEAD ->
				logger.warn("control: head {} of the log is behind the records already read; retrying", page.head());
			case FORKED -> logger.error("control: the log lost records that were already read; no longer following it");
			default -> logger.warn(
					"control: records before offset {} were removed from the log before they were read, and no checkpoint covers them",
					page.oldest());
		}
	}

	private boolean isWarningDue() {
		long nowMs = this.clock.monotonicMs();
		if (nowMs - this.lastWarningMs < WARNING_INTERVAL_MS) {
			return false;
		}
		this.lastWarningMs = nowMs;
		return true;
	}

	private void completeSyncs(long sentAtMs) {
		List<Sync> completed = new ArrayList<>();
		for (Sync sync : this.pendingSyncs) {
			if (sync.requestedMs() <= sentAtMs) {
				completed.add(sync);
			}
		}
		this.pendingSyncs.removeAll(completed);
		completed.forEach((sync) -> sync.promise().tryComplete());
	}

	/**
	 * Reads the log until all records that it contained at the call are applied.
	 * @param timeoutMs maximum time to wait, in milliseconds
	 * @return a future that completes when they are applied and fails on a timeout
	 */
	Future<Void> sync(long timeoutMs) {
		Sync sync = new Sync(this.clock.monotonicMs(), Promise.promise());
		this.pendingSyncs.add(sync);
		long timer = this.vertx.setTimer(timeoutMs, (id) -> {
			this.pendingSyncs.remove(sync);
			sync.promise().tryFail("the log could not be read");
		});
		readUntil(sync);
		return sync.promise().future().onComplete((result) -> this.vertx.cancelTimer(timer));
	}

	private void readUntil(Sync sync) {
		if (!this.pendingSyncs.contains(sync)) {
			return;
		}
		read(0).onSuccess((delayMs) -> this.vertx.setTimer(Math.max(1, delayMs), (id) -> readUntil(sync)));
	}

	/**
	 * Returns whether the log was recently read to its head.
	 * @return true if that was less than {@link #CAUGHT_UP_WINDOW_MS} ago
	 */
	boolean isCaughtUp() {
		return this.clock.monotonicMs() - this.lastCaughtUpMs < CAUGHT_UP_WINDOW_MS;
	}

	void close() {
		this.closed = true;
	}

	private record Sync(long requestedMs, Promise<Void> promise) {

	}

}
