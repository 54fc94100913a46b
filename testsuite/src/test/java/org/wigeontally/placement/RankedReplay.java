package org.wigeontally.placement;

import java.util.ArrayList;
import java.util.List;
import java.util.OptionalInt;
import java.util.Random;

/**
 * Streams of three ranks that share 32 engines of 12 slots, 370 of which are taken. The
 * least urgent kind rises to 2.6 times its rate for 6 s, and beside it the most urgent to
 * 1.7 times for 3.5 s. Engines and entries are spread over three regions.
 */
final class RankedReplay {

	static final int ENGINES = 32;

	static final int REGIONS = 3;

	static final double BURST_START_MS = 4_000;

	static final EngineProfile PROFILE = new EngineProfile(12, 685_000, 7.4, 0.0232, 0.0322, 31.9, 1.18, 7, 908, 111,
			List.of("m"), 16, 48, 49_152);

	static final List<PlacementSimulation.StreamKind> KINDS = List.of(
			new PlacementSimulation.StreamKind(0, 402, 1_290, 126),
			new PlacementSimulation.StreamKind(1, 402, 787, 126), new PlacementSimulation.StreamKind(2, 802, 607, 70));

	/**
	 * Requests per second of the kinds, with which 370 slots are taken; the simulated
	 * engines read one prompt after the other and take 0.88 of the platform's.
	 */
	private static final double[] RATES = { 135 * 0.88, 163 * 0.88, 105 * 0.88 };

	private static final double BURST_END_MS = 10_000;

	private static final double END_MS = 14_000;

	private static final double[] ON_TIME_VALUES = { 3.6, 1.7, 0.55 };

	private static final double[] LATE_VALUES = { 0.36, 0.42, 0.2 };

	final PlacementSimulation simulation;

	private PlacementSimulation.EntryChoice entries;

	private PlacementSimulation.EntryChoice burstEntries;

	private double load = 1;

	RankedReplay(int entries, long seed, PlacementSimulation.EntryStrategy strategy) {
		this.simulation = new PlacementSimulation(entries, ENGINES, seed, strategy).profile(PROFILE)
			.reportEveryMs(150)
			.regions(REGIONS, 400);
		this.entries = (random, atMs) -> random.nextInt(entries);
		this.burstEntries = this.entries;
	}

	RankedReplay oneEntrySeesTheBurst() {
		this.burstEntries = (random, atMs) -> 0;
		return this;
	}

	// The callers of its entries use the others.
	RankedReplay loseRegionInTheBurst() {
		double lostAtMs = BURST_START_MS + 2_000;
		for (int engine = 0; engine < ENGINES; engine += REGIONS) {
			this.simulation.makeUnavailable(engine, lostAtMs, Double.MAX_VALUE);
		}
		PlacementSimulation.EntryChoice all = this.entries;
		this.entries = (random, atMs) -> {
			int entry = all.choose(random, atMs);
			return (atMs >= lostAtMs && entry % REGIONS == 0) ? entry + 1 : entry;
		};
		this.burstEntries = this.entries;
		return this;
	}

	RankedReplay reportLate() {
		this.simulation.reportEveryMs(300).regions(REGIONS, 800);
		return this;
	}

	// A quarter of all reports is lost, and in the burst all those of three engines.
	RankedReplay loseReports() {
		Random losses = new Random(1);
		this.simulation.reports((entry, engine, load, nowMs) -> {
			boolean silent = engine < 3 && nowMs >= 5_000 && nowMs < 8_000;
			return (losses.nextInt(4) == 0 || silent) ? OptionalInt.empty() : OptionalInt.of(load);
		});
		return this;
	}

	// Two engines report that they are idle, and two others three times their load.
	RankedReplay reportFalsely() {
		this.simulation.reports((entry, engine, load, nowMs) -> {
			int reported = (engine < 4) ? 3 * load : load;
			return OptionalInt.of((engine < 2) ? 0 : reported);
		});
		return this;
	}

	RankedReplay retryAtOnce() {
		this.simulation.retryAfterMs(1);
		return this;
	}

	RankedReplay load(double factor) {
		this.load = factor;
		return this;
	}

	RankedReplay run() {
		for (PlacementSimulation.StreamKind kind : KINDS) {
			this.simulation.addArrivals(kind, 0, END_MS, RATES[kind.rank()] * this.load, this.entries);
		}
		this.simulation.addArrivals(KINDS.get(2), BURST_START_MS, BURST_END_MS, 1.6 * RATES[2] * this.load,
				this.burstEntries);
		this.simulation.addArrivals(KINDS.get(0), BURST_START_MS + 1_500, BURST_START_MS + 5_000,
				0.7 * RATES[0] * this.load, this.burstEntries);
		this.simulation.run(END_MS + 8_000);
		return this;
	}

	PlacementSimulation.Result burst() {
		return this.simulation.result(RankedReplay::isInBurst);
	}

	PlacementSimulation.Result burst(int rank) {
		return this.simulation.result((outcome) -> isInBurst(outcome) && outcome.kind.rank() == rank);
	}

	// Requests with the longest prompts of a kind.
	PlacementSimulation.Result largestTenth(int rank) {
		int[] prompts = this.simulation.outcomes()
			.stream()
			.filter((outcome) -> outcome.kind.rank() == rank)
			.mapToInt((outcome) -> outcome.promptTokens)
			.sorted()
			.toArray();
		int limit = prompts[prompts.length * 9 / 10];
		return this.simulation
			.result((outcome) -> isInBurst(outcome) && outcome.kind.rank() == rank && outcome.promptTokens >= limit);
	}

	PlacementSimulation.Result before(int rank) {
		return this.simulation
			.result((outcome) -> outcome.atMs >= 1_000 && outcome.atMs < BURST_START_MS && outcome.kind.rank() == rank);
	}

	private static boolean isInBurst(PlacementSimulation.Outcome outcome) {
		return outcome.atMs >= BURST_START_MS && outcome.atMs < BURST_END_MS;
	}

	/** Returns the share of the attainable value of a kind that was earned. */
	double valueShare(int rank) {
		PlacementSimulation.Result result = burst(rank);
		return (result.onTime() + result.late() * LATE_VALUES[rank] / ON_TIME_VALUES[rank]) / result.requests();
	}

	double valueShare() {
		double attainable = 0;
		double earned = 0;
		for (int rank = 0; rank < KINDS.size(); rank++) {
			double ofRank = burst(rank).requests() * ON_TIME_VALUES[rank];
			attainable += ofRank;
			earned += ofRank * valueShare(rank);
		}
		return earned / attainable;
	}

	@Override
	public String toString() {
		List<String> shares = new ArrayList<>();
		for (int rank = 0; rank < KINDS.size(); rank++) {
			shares.add(String.format("%.2f/%.2f (%.2f)", burst(rank).servedShare(), burst(rank).onTimeShare(),
					before(rank).servedShare()));
		}
		return String.format("served/in time in the burst (served before) by rank: %s; share of value %.3f",
				String.join(", ", shares), valueShare());
	}

}
