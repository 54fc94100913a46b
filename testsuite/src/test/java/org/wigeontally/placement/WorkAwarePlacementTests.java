package org.wigeontally.placement;

import java.util.List;
import java.util.Random;
import java.util.function.Function;
import java.util.function.UnaryOperator;
import java.util.stream.IntStream;

import org.testng.Reporter;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Placement by work, in virtual time with 32 engines of 12 slots, against placement by
 * load, the least reported load and exact knowledge of load and speed.
 */
public class WorkAwarePlacementTests {

	private static final int SEEDS = 6;

	private static final WorkSimulation.Load UNEVEN = WorkSimulation.Load.uneven();

	private static final WorkSimulation.Load RANKED = WorkSimulation.Load.ranked();

	/** Occupies about 320 of 384 slots. */
	private static final double UNEVEN_RATE = 210;

	/** Occupies about 340 of 384 slots. */
	private static final double HIGH_UNEVEN_RATE = 222;

	/** Occupies about 360 of 384 slots. */
	private static final double RANKED_RATE = 290;

	/** More than the engines can serve in time. */
	private static final double RANKED_OVERLOAD_RATE = 340;

	@DataProvider
	public Object[][] unevenLoads() {
		return new Object[][] { { 44, UNEVEN_RATE }, { 67, UNEVEN_RATE }, { 44, HIGH_UNEVEN_RATE },
				{ 67, HIGH_UNEVEN_RATE } };
	}

	/**
	 * A sixth of the engines at 2.5 times in turns. Guards against a placement by work
	 * that serves fewer requests in time than one by load.
	 */
	@Test(dataProvider = "unevenLoads")
	public void moreRequestsAreInTimeBesideSlowPhases(int entries, double rate) {
		Shares work = run("work", UNEVEN, entries, rate, false, UnaryOperator.identity(), work(UNEVEN));
		Shares engine = run("load", UNEVEN, entries, rate, false, UnaryOperator.identity(), byLoad(UNEVEN));
		Shares before = run("load, reported speed", UNEVEN, entries, rate, false, WorkSimulation::withReportedSpeed,
				byLoad(UNEVEN));
		Shares least = run("least reported load", UNEVEN, entries, rate, false, UnaryOperator.identity(),
				(random) -> leastLoad());
		Shares perfect = run("exact knowledge", UNEVEN, entries, rate, true, UnaryOperator.identity(), byLoad(UNEVEN));
		assertThat(work.onTime()).isGreaterThan(engine.onTime() + 0.01);
		assertThat(work.onTime()).isGreaterThan(before.onTime() + 0.01);
		assertThat(work.onTime()).isGreaterThan(least.onTime());
		assertThat(work.onTime()).isGreaterThan(perfect.onTime() - 0.1);
	}

	/**
	 * Half of the callers of the other regions move to one, so that it gets two thirds of
	 * the requests. Guards against a region that is filled while others have room.
	 */
	@Test
	public void callersThatMoveToOneRegionAreServedByAll() {
		UnaryOperator<WorkSimulation> moved = (simulation) -> simulation.withMovedCallers(0.5);
		Shares work = run("work, callers moved", UNEVEN, 44, UNEVEN_RATE, false, moved, work(UNEVEN));
		Shares engine = run("load, callers moved", UNEVEN, 44, UNEVEN_RATE, false, moved, byLoad(UNEVEN));
		assertThat(work.onTime()).isGreaterThan(engine.onTime());
		work = run("work, callers moved", RANKED, 44, RANKED_RATE, false, moved, work(RANKED));
		engine = run("load, callers moved", RANKED, 44, RANKED_RATE, false, moved, byLoad(RANKED));
		assertThat(work.onTime()).isGreaterThan(engine.onTime());
	}

	/**
	 * Guards against engines that look empty because their agents are silent and are
	 * crowded by all entries.
	 */
	@Test
	public void silentAgentsDoNoMoreHarmThanBefore() {
		UnaryOperator<WorkSimulation> silent = (simulation) -> simulation.withSilentAgents(10);
		Shares work = run("work, silent", UNEVEN, 44, UNEVEN_RATE, false, silent, work(UNEVEN));
		Shares engine = run("load, silent", UNEVEN, 44, UNEVEN_RATE, false, silent, byLoad(UNEVEN));
		assertThat(work.onTime()).isGreaterThan(engine.onTime() + 0.03);
	}

	/** Three ranks at 360 of 384 slots, at steady speed. */
	@Test
	public void moreRequestsAreInTimeAmongRanks() {
		Shares work = run("work", RANKED, 44, RANKED_RATE, false, UnaryOperator.identity(), work(RANKED));
		Shares engine = run("load", RANKED, 44, RANKED_RATE, false, UnaryOperator.identity(), byLoad(RANKED));
		assertThat(work.onTime()).isGreaterThan(engine.onTime());
	}

	/**
	 * More requests than the engines can serve. Guards against queues of engines that do
	 * not help the most urgent requests, or starve others.
	 */
	@Test
	public void mostUrgentRequestsGainFromQueuesOfEngines() {
		Shares work = run("work", RANKED, 44, RANKED_OVERLOAD_RATE, false, UnaryOperator.identity(), work(RANKED));
		Shares engine = run("load", RANKED, 44, RANKED_OVERLOAD_RATE, false, UnaryOperator.identity(), byLoad(RANKED));
		assertThat(work.onTimeByRank()[0]).isGreaterThan(engine.onTimeByRank()[0] + 0.02);
		assertThat(work.onTimeByRank()[2]).isGreaterThan(0.5 * work.onTime());
	}

	@Test
	public void slotsAreKeptFree() {
		WorkAwarePlacement placement = WorkAwarePlacement.of(RANKED.engine(), true, new Random(1));
		List<BackendCandidate> nine = List.of(new BackendCandidate("a", 0, 9, 1, 0));
		assertThat(placement.decide(request(1, 402, 0), nine)).isInstanceOf(PlacementDecision.Place.class);
		assertThat(placement.decide(request(1, 402, 3), nine)).isInstanceOf(PlacementDecision.Reject.class);
		// Late requests leave four slots to others.
		assertThat(placement.decide(request(1, -100, 0), nine)).isInstanceOf(PlacementDecision.Reject.class);
		assertThat(placement.decide(request(1, -100, 0), List.of(new BackendCandidate("a", 2, 5, 2.5, 0.4))))
			.isInstanceOf(PlacementDecision.Place.class);
	}

	/**
	 * Guards against a late request that is refused although unreported engines are idle.
	 */
	@Test
	public void unreportedEngineIsNotCalledFull() {
		BackendCandidate full = new BackendCandidate("a", 0, 12, 1, 0);
		BackendCandidate unreported = new BackendCandidate("b", 0, 0, 1, 0)
			.withWork(new EngineWork(0, 0, 0, 0, BackendLoad.MAX_REPORT_AGE_MS + 1));
		WorkAwarePlacement placement = WorkAwarePlacement.of(RANKED.engine(), true, new Random(1));
		assertThat(placement.decide(request(2, -100, 0), List.of(full, unreported)))
			.isInstanceOfSatisfying(PlacementDecision.Place.class, (place) -> assertThat(place.id()).isEqualTo("b"));
	}

	@Test
	public void onlyMostUrgentRequestsInTimeWaitAtEngines() {
		List<BackendCandidate> full = List.of(new BackendCandidate("a", 0, 12, 1, 0));
		List<BackendCandidate> queued = List.of(new BackendCandidate("a", 0, 13, 1, 0));
		WorkAwarePlacement placement = WorkAwarePlacement.of(RANKED.engine(), true, new Random(1));
		assertThat(placement.decide(request(0, 402, 0), full)).isInstanceOfSatisfying(PlacementDecision.Place.class,
				(place) -> assertThat(place.enginePriority()).isZero());
		assertThat(placement.decide(request(0, 402, 1), full)).isInstanceOf(PlacementDecision.Reject.class);
		assertThat(placement.decide(request(0, 402, 0), queued)).isInstanceOf(PlacementDecision.Reject.class);
		assertThat(placement.decide(request(0, 100, 0), full)).isInstanceOf(PlacementDecision.Reject.class);
		assertThat(WorkAwarePlacement.of(RANKED.engine(), false, new Random(1)).decide(request(0, 402, 0), full))
			.isInstanceOf(PlacementDecision.Reject.class);
		// A slot is expected after one completion.
		assertThat(placement.decide(request(1, 402, 0), full)).isInstanceOfSatisfying(PlacementDecision.Reject.class,
				(rejection) -> assertThat(rejection.retryAfterMs())
					.isBetween(RANKED.engine().completionIntervalMs() * 0.9, 200.0));
	}

	/** Guards against an engine whose KV cache runs out. */
	@Test
	public void engineWithoutMemoryGetsNothing() {
		WorkAwarePlacement placement = WorkAwarePlacement.of(RANKED.engine(), true, new Random(1));
		BackendCandidate candidate = new BackendCandidate("a", 0, 3, 1, 0);
		assertThat(placement.decide(request(0, 402, 0), List.of(candidate)))
			.isInstanceOf(PlacementDecision.Place.class);
		BackendCandidate large = candidate.withWork(new EngineWork(3, 0, 1_000, 684_500, 0));
		assertThat(placement.decide(request(0, 402, 0), List.of(large))).isInstanceOf(PlacementDecision.Reject.class);
	}

	private static EngineRequest request(int rank, double targetLeftMs, int reservedSlots) {
		return new EngineRequest(600, 111, targetLeftMs, 5_000, rank, reservedSlots);
	}

	private static Function<Random, PlacementSimulation.PlacementStrategy> work(WorkSimulation.Load load) {
		return (random) -> WorkAwarePlacement.of(load.engine(), load == RANKED, random)::decide;
	}

	private static Function<Random, PlacementSimulation.PlacementStrategy> byLoad(WorkSimulation.Load load) {
		return (random) -> EnginePlacement.of(load.engine(), random)::decide;
	}

	private static PlacementSimulation.PlacementStrategy leastLoad() {
		return (request, candidates) -> {
			BackendCandidate least = candidates.get(0);
			for (BackendCandidate candidate : candidates) {
				least = (candidate.load() < least.load()) ? candidate : least;
			}
			return new PlacementDecision.Place(least.id(), request.priority(), 0);
		};
	}

	private static Shares run(String name, WorkSimulation.Load load, int entries, double rate, boolean perfect,
			UnaryOperator<WorkSimulation> variant, Function<Random, PlacementSimulation.PlacementStrategy> strategy) {
		double[] sums = new double[6];
		IntStream.range(0, SEEDS).forEach((seed) -> {
			WorkSimulation simulation = variant
				.apply(new WorkSimulation(load, entries, perfect, 500 + seed, strategy.apply(new Random(seed))));
			simulation.addArrivals(0, 12_000, rate);
			PlacementSimulation.Result result = simulation.run(18_000);
			sums[0] += result.onTimeShare() / SEEDS;
			for (int rank = 0; rank < 3; rank++) {
				sums[1 + rank] += simulation.onTimeShare(rank) / SEEDS;
			}
			sums[4] += simulation.meanOccupied() / SEEDS;
			sums[5] += (double) result.rejected() / result.requests() / SEEDS;
		});
		Reporter.log(String.format(
				"%s, %d entries, %.0f requests/s: %.0f slots, in time %.3f, by rank %.3f %.3f %.3f, refused %.3f", name,
				entries, rate, sums[4], sums[0], sums[1], sums[2], sums[3], sums[5]));
		return new Shares(sums[0], new double[] { sums[1], sums[2], sums[3] });
	}

	private record Shares(double onTime, double[] onTimeByRank) {

	}

}
