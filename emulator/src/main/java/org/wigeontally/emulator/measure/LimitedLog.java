package org.wigeontally.emulator.measure;

import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;

import org.wigeontally.log.LogPage;
import org.wigeontally.log.PlatformLog;
import org.wigeontally.schema.generated.LogRecord;

/**
 * A log that takes a limited number of appends a second, each with a delay, and refuses
 * those that would wait too long. Safe for use by several threads.
 */
final class LimitedLog implements PlatformLog {

	private static final long MAX_WAIT_MS = 500;

	private final PlatformLog log;

	private final ScheduledExecutorService timer;

	private final long appendNs;

	private final long intervalNs;

	private long freeAtNs = System.nanoTime();

	private long appended;

	private long refused;

	LimitedLog(PlatformLog log, ScheduledExecutorService timer, long appendMs, int appendsPerSecond) {
		this.log = log;
		this.timer = timer;
		this.appendNs = TimeUnit.MILLISECONDS.toNanos(appendMs);
		this.intervalNs = TimeUnit.SECONDS.toNanos(1) / appendsPerSecond;
	}

	@Override
	public CompletionStage<Long> append(String stream, LogRecord record) {
		CompletableFuture<Long> reply = new CompletableFuture<>();
		long waitNs = slot();
		if (waitNs < 0) {
			return CompletableFuture.failedFuture(new IllegalStateException("the log is overloaded"));
		}
		this.timer.schedule(() -> this.log.append(stream, record).whenComplete((offset, failure) -> {
			if (failure != null) {
				reply.completeExceptionally(failure);
				return;
			}
			reply.complete(offset);
		}), waitNs + this.appendNs, TimeUnit.NANOSECONDS);
		return reply;
	}

	private synchronized long slot() {
		long nowNs = System.nanoTime();
		long startNs = Math.max(nowNs, this.freeAtNs);
		if (startNs - nowNs > TimeUnit.MILLISECONDS.toNanos(MAX_WAIT_MS)) {
			this.refused++;
			return -1;
		}
		this.appended++;
		this.freeAtNs = startNs + this.intervalNs;
		return startNs - nowNs;
	}

	@Override
	public CompletionStage<LogPage> read(String stream, long from, int most, long waitMs) {
		return this.log.read(stream, from, most, waitMs);
	}

	synchronized long appended() {
		return this.appended;
	}

	synchronized long refused() {
		return this.refused;
	}

}
