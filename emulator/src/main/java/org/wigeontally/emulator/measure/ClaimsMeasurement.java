package org.wigeontally.emulator.measure;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;

import com.beust.jcommander.Parameter;
import org.HdrHistogram.Histogram;

import org.wigeontally.claims.ClaimDecision;
import org.wigeontally.claims.ClaimKey;
import org.wigeontally.claims.ClaimRequest;
import org.wigeontally.claims.LogBackedClaims;
import org.wigeontally.emulator.platform.MemoryLog;
import org.wigeontally.misc.Clock;
import org.wigeontally.schema.generated.Outcome;

/**
 * Measures what claims add to a commit, on a log that takes a limited number of appends a
 * second: the latency from asking to winning, claims a second, and appends a claim, for
 * entries that each append for themselves and for one owner a partition. Each claim that
 * was won also records an outcome.
 */
final class ClaimsMeasurement implements Measurement {

	private static final int TODAY_ENTRIES = 8;

	private static final int TODAY_PER_SECOND = 40;

	private static final int TARGET_PER_SECOND = 1280;

	private static final int MANY_ENTRIES = 24;

	private static final int SATURATING_PER_SECOND = 8000;

	private static final int MOST_PER_TICK = 100;

	private static final long READ_WAIT_MS = 100;

	private static final long TICK_MS = 2;

	private static final long DEADLINE_MS = 2000;

	@Parameter(names = "--seconds", description = "Length of each part in seconds")
	private int seconds = 3;

	@Parameter(names = "--appends", description = "Appends a second that the log takes")
	private int appends = 300;

	@Parameter(names = "--append-ms", description = "Time that an append takes in milliseconds")
	private long appendMs = 3;

	@Override
	public String name() {
		return "claims";
	}

	@Override
	public Figures run(long seed) throws Exception {
		Figures figures = Figures.create();
		part(figures, "today", seed, TODAY_ENTRIES, ClaimKey.PARTITIONS, TODAY_PER_SECOND);
		part(figures, "owners1280", seed, 1, ClaimKey.PARTITIONS, TARGET_PER_SECOND);
		part(figures, "each1280", seed, MANY_ENTRIES, ClaimKey.PARTITIONS, TARGET_PER_SECOND);
		part(figures, "offered8000With1Partition", seed, 1, 1, SATURATING_PER_SECOND);
		part(figures, "offered8000With4Partitions", seed, 1, 4, SATURATING_PER_SECOND);
		return figures;
	}

	private void part(Figures figures, String name, long seed, int entries, int partitions, int perSecond)
			throws InterruptedException {
		ScheduledExecutorService control = Executors.newSingleThreadScheduledExecutor();
		ScheduledExecutorService timer = Executors.newSingleThreadScheduledExecutor();
		try {
			LimitedLog log = new LimitedLog(MemoryLog.create(Clock.system(), seed), timer, this.appendMs, this.appends);
			Load load = new Load(control, log, entries, partitions, perSecond);
			control.scheduleWithFixedDelay(load::tick, 0, TICK_MS, TimeUnit.MILLISECONDS);
			Thread.sleep(TimeUnit.SECONDS.toMillis(this.seconds));
			control.submit(() -> load.put(figures, name, log)).get();
		}
		catch (java.util.concurrent.ExecutionException ex) {
			throw new IllegalStateException(ex);
		}
		finally {
			control.shutdownNow();
			timer.shutdownNow();
		}
	}

	/**
	 * Makes claims at a constant rate, on the control thread.
	 */
	private static final class Load {

		private final List<LogBackedClaims> entries = new ArrayList<>();

		private final Histogram latencyMs = new Histogram(3);

		private final int partitions;

		private final int perSecond;

		private final long startNs = System.nanoTime();

		private long made;

		private long won;

		private long refused;

		private int nextKey;

		Load(ScheduledExecutorService control, LimitedLog log, int entries, int partitions, int perSecond) {
			this.partitions = partitions;
			this.perSecond = perSecond;
			for (int i = 0; i < entries; i++) {
				this.entries.add(LogBackedClaims.create(log, Clock.system(), control, "e" + i, () -> 1, READ_WAIT_MS));
			}
		}

		void tick() {
			long wanted = (System.nanoTime() - this.startNs) * this.perSecond / TimeUnit.SECONDS.toNanos(1);
			for (int i = 0; this.made < wanted && i < MOST_PER_TICK; i++) {
				claim(this.entries.get((int) (this.made % this.entries.size())));
				this.made++;
			}
			this.entries.forEach(LogBackedClaims::tick);
		}

		private void claim(LogBackedClaims entry) {
			ClaimKey key = key();
			long startedNs = System.nanoTime();
			long deadlineMs = Clock.system().monotonicMs() + DEADLINE_MS;
			entry.claim(new ClaimRequest(key, 1, Clock.system().wallMs(), List.of("agent"), deadlineMs))
				.thenAccept((decision) -> decided(entry, decision, startedNs));
		}

		private ClaimKey key() {
			while (true) {
				ClaimKey key = ClaimKey.of("koro", "order-desk", "key-" + this.nextKey++);
				if (key.partition() < this.partitions) {
					return key;
				}
			}
		}

		private void decided(LogBackedClaims entry, ClaimDecision decision, long startedNs) {
			if (decision instanceof ClaimDecision.Granted granted) {
				this.won++;
				this.latencyMs.recordValue(TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startedNs));
				entry.tryStartDispatch(granted.grant());
				entry.recordOutcome(granted.grant(), Outcome.newBuilder().setStatus(200).build());
				return;
			}
			this.refused++;
		}

		void put(Figures figures, String name, LimitedLog log) {
			double seconds = (System.nanoTime() - this.startNs) / (double) TimeUnit.SECONDS.toNanos(1);
			figures.put(name + "P50Ms", this.latencyMs.getValueAtPercentile(50));
			figures.put(name + "P99Ms", this.latencyMs.getValueAtPercentile(99));
			figures.put(name + "OfferedPerSecond", this.made / seconds);
			figures.put(name + "WonPerSecond", this.won / seconds);
			figures.put(name + "NotRunPerSecond", this.refused / seconds);
			figures.put(name + "AppendsPerSecond", log.appended() / seconds);
			figures.put(name + "AppendsRefusedPerSecond", log.refused() / seconds);
			figures.put(name + "AppendsPerClaim", (double) log.appended() / Math.max(1, this.won));
		}

	}

}
