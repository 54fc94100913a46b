package org.wigeontally.emulator.configuration;

import java.util.function.BooleanSupplier;

/**
 * Follows one topic of the store as an entry does. Used by one thread.
 */
final class SimulatedFollower {

	private static final long POLL_WAIT_MS = 700;

	private static final long MIN_CHECK_DELAY_MS = 20;

	private static final long RETRY_DELAY_MS = 150;

	private static final long MAX_RETRY_DELAY_MS = 600;

	private static final int LARGE_RESPONSE_BYTES = 16 * 1024;

	private static final long MAX_RECEIVE_PAUSE_MS = 600;

	private static final long CALL_TIMEOUT_MS = 1_500;

	private static final int MIN_PERIOD_BYTES = 16 * 1024;

	private final SimulatedEntry owner;

	private final boolean operator;

	private final long readPauseMs;

	private final double startedAtMs;

	private double knownAsOfMs;

	private double lastReceivedAtMs;

	private long end;

	private boolean starting = true;

	private int failures;

	private boolean announced;

	private Call call;

	SimulatedFollower(SimulatedEntry owner, boolean operator, long readPauseMs) {
		this.owner = owner;
		this.operator = operator;
		this.readPauseMs = readPauseMs;
		this.startedAtMs = owner.nowMs();
		this.knownAsOfMs = this.startedAtMs;
		this.lastReceivedAtMs = this.startedAtMs - MAX_RECEIVE_PAUSE_MS;
	}

	/**
	 * Starts as one that has read the topic before.
	 * @param knownEnd position up to which it knows the records
	 */
	void warm(long knownEnd) {
		this.starting = false;
		this.end = knownEnd;
	}

	double ageMs() {
		return this.owner.nowMs() - this.knownAsOfMs;
	}

	void recordKnownAsOf(double asOfMs) {
		this.knownAsOfMs = Math.max(this.knownAsOfMs, asOfMs);
	}

	boolean isStoreReachable() {
		return this.failures == 0;
	}

	boolean isReceiving() {
		return this.announced && this.owner.nowMs() - this.lastReceivedAtMs < MAX_RECEIVE_PAUSE_MS;
	}

	long end() {
		return this.end;
	}

	void setEnd(long newEnd) {
		this.end = Math.max(this.end, newEnd);
	}

	void readNext() {
		boolean snapshot = this.starting && this.end == 0;
		int rank = this.owner.rank();
		boolean receiving = this.operator && this.owner.isRegionReceiving();
		SpreadPolicy policy = this.owner.network().policy();
		long delayMs = snapshot
				? policy.firstReadDelayMs(rank, (long) (this.owner.nowMs() - this.startedAtMs),
						this.owner.hasRegionRecords(this.operator), receiving)
				: policy.readDelayMs(rank, (long) ageMs(), receiving);
		if (delayMs > 0) {
			schedule(Math.max(MIN_CHECK_DELAY_MS, delayMs));
			return;
		}
		this.announced = false;
		this.call = new Call(snapshot, this.end, (rank == 0 && !snapshot) ? POLL_WAIT_MS : 0);
		this.call.send();
	}

	private void schedule(double delayMs) {
		this.owner.after(delayMs, this::readNext);
	}

	private boolean recordProgress(int receivedBytes) {
		if (receivedBytes < LARGE_RESPONSE_BYTES) {
			return true;
		}
		this.lastReceivedAtMs = this.owner.nowMs();
		boolean first = !this.announced;
		this.announced = true;
		if (!this.operator || !this.owner.network().policy().sendsReferences()) {
			return true;
		}
		if (first) {
			this.owner.exchangeWithRegion();
		}
		boolean known = this.end > this.call.start;
		return !known && !this.owner.isReceivedByEarlierEntry();
	}

	private void recordSuccess(long newEnd, double asOfMs, boolean empty) {
		this.announced = false;
		this.starting = false;
		this.failures = 0;
		boolean changed = newEnd > this.end;
		setEnd(newEnd);
		recordKnownAsOf(asOfMs);
		if (this.operator && changed) {
			this.owner.applyFromStore(newEnd - 1);
		}
		schedule(empty ? 0 : this.readPauseMs);
	}

	private void recordFailure() {
		this.announced = false;
		this.failures++;
		schedule(Math.min(MAX_RETRY_DELAY_MS, RETRY_DELAY_MS * this.failures));
	}

	/** A call that is under way. */
	private final class Call implements StoreCall {

		private final boolean snapshot;

		private final long start;

		private final long waitMs;

		private final double sentAtMs = SimulatedFollower.this.owner.nowMs();

		private boolean ended;

		private int receivedBytes;

		private int periodStartBytes;

		private Call(boolean snapshot, long start, long waitMs) {
			this.snapshot = snapshot;
			this.start = start;
			this.waitMs = waitMs;
		}

		private void send() {
			SimulatedEntry entry = SimulatedFollower.this.owner;
			SpreadNetwork network = entry.network();
			network.send(network.pathToStore(entry), () -> network.store().handle(this));
			entry.after(this.waitMs + CALL_TIMEOUT_MS, this::periodEnded);
		}

		private void periodEnded() {
			if (this.ended) {
				return;
			}
			boolean continues = SimulatedFollower.this.owner.network().policy().sendsReferences()
					&& this.receivedBytes - this.periodStartBytes >= MIN_PERIOD_BYTES;
			if (!continues) {
				fail();
				return;
			}
			this.periodStartBytes = this.receivedBytes;
			SimulatedFollower.this.owner.after(this.waitMs + CALL_TIMEOUT_MS, this::periodEnded);
		}

		private void fail() {
			if (!this.ended) {
				this.ended = true;
				recordFailure();
			}
		}

		@Override
		public SimulatedEntry entry() {
			return SimulatedFollower.this.owner;
		}

		@Override
		public boolean operator() {
			return SimulatedFollower.this.operator;
		}

		@Override
		public boolean snapshot() {
			return this.snapshot;
		}

		@Override
		public long start() {
			return this.start;
		}

		@Override
		public long waitMs() {
			return this.waitMs;
		}

		@Override
		public void refuse() {
			SpreadNetwork network = entry().network();
			network.send(network.pathFromStore(entry()), entry().delivery(this::fail));
		}

		@Override
		public void send(int bytes, long newEnd, BooleanSupplier running, Runnable completed) {
			SimulatedEntry entry = entry();
			BooleanSupplier wanted = entry.alive(() -> !this.ended && running.getAsBoolean());
			Transfer.start(entry.network().time(), entry.network().pathFromStore(entry), bytes, wanted,
					(action) -> entry.delivery(action).run(), this::progress, () -> {
						this.ended = true;
						completed.run();
						boolean empty = newEnd <= this.start;
						double asOfMs = this.sentAtMs + (empty ? this.waitMs : 0);
						entry.after(compressionMs(bytes), () -> recordSuccess(newEnd, asOfMs, empty));
					});
		}

		private double compressionMs(int bytes) {
			return operator() ? bytes * SimulatedEntry.COMPRESSION_MS_PER_BYTE : 0;
		}

		private boolean progress(int bytes) {
			this.receivedBytes = bytes;
			SimulatedEntry entry = entry();
			if (operator()) {
				entry.reportProgress(bytes);
			}
			if (recordProgress(bytes)) {
				return true;
			}
			this.ended = true;
			SimulatedFollower.this.announced = false;
			schedule(RETRY_DELAY_MS);
			return false;
		}

	}

}
