package org.wigeontally.emulator.platform;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.Executor;
import java.util.concurrent.TimeUnit;

import org.wigeontally.log.LogPage;
import org.wigeontally.log.PlatformLog;
import org.wigeontally.misc.Clock;
import org.wigeontally.schema.generated.LogRecord;
import org.wigeontally.schema.generated.OffsetRecord;

/**
 * A log in memory with the faults of the platform's log: outages, replies lost after the
 * append took effect, records dropped after a time, reads served from an old head. Safe
 * for use by several threads.
 */
public final class MemoryLog implements PlatformLog {

	private final Clock clock;

	private final Random random;

	private final Map<String, Stream> streams = new HashMap<>();

	private boolean outage;

	private double lostReplies;

	private long retentionMs = TimeUnit.HOURS.toMillis(1);

	private int staleBy;

	private MemoryLog(Clock clock, long seed) {
		this.clock = clock;
		this.random = new Random(seed);
	}

	/**
	 * Creates an empty log.
	 * @param clock gives the records their time
	 * @param seed seed of the choice of lost replies
	 * @return the log
	 */
	public static MemoryLog create(Clock clock, long seed) {
		return new MemoryLog(clock, seed);
	}

	@Override
	public CompletionStage<Long> append(String stream, LogRecord record) {
		List<Waiter> ready;
		long offset;
		boolean lost;
		synchronized (this) {
			if (this.outage) {
				return CompletableFuture.failedFuture(new IllegalStateException("the log is down"));
			}
			Stream target = stream(stream);
			offset = target.append(record, this.clock.wallMs());
			ready = target.takeReady();
			lost = this.random.nextDouble() < this.lostReplies;
		}
		ready.forEach((waiter) -> complete(stream, waiter));
		if (lost) {
			return CompletableFuture.failedFuture(new IllegalStateException("the reply was lost"));
		}
		return CompletableFuture.completedFuture(offset);
	}

	@Override
	public CompletionStage<LogPage> read(String stream, long from, int most, long waitMs) {
		synchronized (this) {
			if (this.outage) {
				return CompletableFuture.failedFuture(new IllegalStateException("the log is down"));
			}
			Stream source = stream(stream);
			source.dropBefore(this.clock.wallMs() - this.retentionMs);
			if (waitMs <= 0 || most == 0 || from < source.head - this.staleBy) {
				return CompletableFuture.completedFuture(source.page(from, most, this.staleBy));
			}
			Waiter waiter = new Waiter(from, most, new CompletableFuture<>());
			source.waiters.add(waiter);
			Executor later = CompletableFuture.delayedExecutor(waitMs, TimeUnit.MILLISECONDS);
			later.execute(() -> complete(stream, waiter));
			return waiter.answer;
		}
	}

	private void complete(String stream, Waiter waiter) {
		LogPage page;
		synchronized (this) {
			Stream source = stream(stream);
			source.waiters.remove(waiter);
			if (this.outage) {
				page = null;
			}
			else {
				page = source.page(waiter.from, waiter.most, this.staleBy);
			}
		}
		if (page == null) {
			waiter.answer.completeExceptionally(new IllegalStateException("the log is down"));
		}
		else {
			waiter.answer.complete(page);
		}
	}

	private Stream stream(String name) {
		return this.streams.computeIfAbsent(name, (key) -> new Stream());
	}

	/**
	 * Starts or ends an outage.
	 * @param down true for an outage
	 */
	public synchronized void outage(boolean down) {
		this.outage = down;
	}

	/**
	 * Sets how often the reply to an append is lost after the append took effect.
	 * @param share share of the appends, from 0 to 1
	 */
	public synchronized void lostReplies(double share) {
		this.lostReplies = share;
	}

	/**
	 * Sets how long records are kept.
	 * @param ms milliseconds
	 */
	public synchronized void retentionMs(long ms) {
		this.retentionMs = ms;
	}

	/**
	 * Serves reads from an old head.
	 * @param records how many of the newest records stay hidden
	 */
	public synchronized void staleBy(int records) {
		this.staleBy = records;
	}

	/**
	 * Loses the newest records of a stream, as a log that comes back shorter.
	 * @param stream name of the stream
	 * @param records how many
	 */
	public synchronized void shorten(String stream, int records) {
		stream(stream).shorten(records);
	}

	/**
	 * Returns how many appends took effect.
	 * @param stream name of the stream
	 * @return the head of the stream
	 */
	public synchronized long head(String stream) {
		return stream(stream).head;
	}

	private record Waiter(long from, int most, CompletableFuture<LogPage> answer) {

	}

	/**
	 * One stream. Offsets start at 1, so that 0 can stand for none.
	 */
	private static final class Stream {

		private final Deque<OffsetRecord> records = new ArrayDeque<>();

		private final List<Waiter> waiters = new ArrayList<>();

		private long head = 1;

		long append(LogRecord record, long timeMs) {
			this.records
				.addLast(OffsetRecord.newBuilder().setOffset(this.head).setTimeMs(timeMs).setRecord(record).build());
			return this.head++;
		}

		void dropBefore(long timeMs) {
			while (!this.records.isEmpty() && this.records.peekFirst().getTimeMs() < timeMs) {
				this.records.removeFirst();
			}
		}

		void shorten(int count) {
			for (int i = 0; i < count && !this.records.isEmpty(); i++) {
				this.records.removeLast();
				this.head--;
			}
		}

		LogPage page(long from, int most, int staleBy) {
			long visibleHead = Math.max(1, this.head - staleBy);
			List<OffsetRecord> page = new ArrayList<>();
			for (OffsetRecord record : this.records) {
				if (page.size() >= most || record.getOffset() >= visibleHead) {
					break;
				}
				if (record.getOffset() >= from) {
					page.add(record);
				}
			}
			long oldest = this.records.isEmpty() ? this.head : this.records.peekFirst().getOffset();
			return new LogPage(page, oldest, visibleHead);
		}

		List<Waiter> takeReady() {
			List<Waiter> ready = new ArrayList<>();
			for (Iterator<Waiter> each = this.waiters.iterator(); each.hasNext();) {
				Waiter waiter = each.next();
				if (waiter.from < this.head) {
					each.remove();
					ready.add(waiter);
				}
			}
			return ready;
		}

	}

}
