package org.wigeontally.placement;

import java.util.List;
import java.util.Locale;
import java.util.Random;
import java.util.function.Predicate;
import java.util.function.UnaryOperator;
import java.util.stream.IntStream;

import org.testng.Reporter;
import org.testng.annotations.BeforeClass;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Requests that wait at 44 entries for 32 engines of which about 370 of 384 slots are
 * taken, while the least urgent rank comes at 2.6 times for 6 s and beside it the most
 * urgent at 1.7 times for 3.5 s. Callers retry once, when they are told to. Reports reach
 * an entry every 300 ms. Compared with no queue and a return after 1.7 s, and with
 * entries that know the load of the engines at any time.
 */
public class RequestQueueLoadTests {

	static final EngineProfile PROFILE = new EngineProfile(12, 685_000, 7.4, 0.0232, 0.0322, 31.9, 1.18, 7, 909, 111,
			List.of("m"), 16, 48, 49_152);

	private static final int ENTRIES = 44;

	private static final int ENGINES = 32;

	private static final int SEEDS = 4;

	private static final int ORGANISATIONS = 24;

	/**
	 * Three organisations send as many requests as the other 21 and half as many again.
	 */
	private static final int LARGE_ORGANISATIONS = 3;

	private static final double LARGE_WEIGHT = 10;

	private static final List<PlacementSimulation.StreamKind> STREAMS = List.of(
			new PlacementSimulation.StreamKind(0, 402, 1_290, 126),
			new PlacementSimulation.StreamKind(1, 402, 787, 126), new PlacementSimulation.StreamKind(2, 802, 607, 70));

	/**
	 * About three quarters of the real rates: the simulated engines read prompts between
	 * two passes, so they have about 370 requests with these.
	 */
	private static final double[] RATES = { 102, 124, 80 };

	private static final double[] VALUES_IN_TIME = { 3.6, 1.7, 0.55 };

	private static final double[] VALUES_LATE = { 0.36, 0.42, 0.2 };

	private Outcome withoutQueue;

	private Outcome withQueue;

	private Outcome withKnowledge;

	@BeforeClass
	public void run() {
		Load load = new Load("44 entries", ENTRIES, UnaryOperator.identity());
		this.withoutQueue = run("no queue, 1.7 s", load, false);
		this.withQueue = run("queue", load, true);
		this.withKnowledge = run("queue", new Load("perfect knowledge", ENTRIES, PlacementSimulation::reportPerfectly),
				true);
	}

	@DataProvider
	public Object[][] variants() {
		return new Object[][] {
				{ new Load("callers retry at once", ENTRIES, (simulation) -> simulation.retryAfterMs(0)) },
				{ new Load("half of the callers at 15 of 44", ENTRIES, (simulation) -> simulation.crowdEntries(15)) },
				{ new Load("9 entries", 9, UnaryOperator.identity()) },
				{ new Load("67 entries", 67, UnaryOperator.identity()) } };
	}

	/**
	 * Guards against a queue that helps only at the number of entries, or with the
	 * callers, that it was built for.
	 */
	@Test(dataProvider = "variants")
	public void variantsOfTheLoadAreServedBetterToo(Load load) {
		Outcome without = run("no queue, 1.7 s", load, false);
		Outcome with = run("queue", load, true);
		assertThat(with.value).isGreaterThan(without.value);
		assertThat(with.inTime[0]).isGreaterThan(without.inTime[0]);
		for (int rank = 0; rank < STREAMS.size(); rank++) {
			assertThat(with.failedLong[rank]).isLessThan(with.placed[rank]);
		}
	}

	/** Guards against a load that is not the one that the queue is meant for. */
	@Test
	public void enginesAreNearlyFullBeforeTheBurst() {
		double requests = IntStream.rangeClosed(1, 3 * SEEDS).parallel().map((seed) -> {
			PlacementSimulation simulation = createSimulation(ENTRIES, seed);
			addLoad(simulation);
			simulation.run(3_900);
			return simulation.requestsAtEngines();
		}).average().getAsDouble();
		assertThat(requests).isBetween(355.0, 384.0);
	}

	/** Guards against waits that take slots from others without meeting more targets. */
	@Test
	public void moreRequestsOfEachRankMeetTheirTarget() {
		for (int rank = 0; rank < STREAMS.size(); rank++) {
			assertThat(this.withQueue.inTime[rank]).isGreaterThan(this.withoutQueue.inTime[rank]);
			assertThat(this.withQueue.inTime[rank]).isLessThan(this.withKnowledge.inTime[rank]);
		}
		assertThat(this.withQueue.value).isGreaterThan(this.withoutQueue.value);
	}

	/** Guards against waits that cost the urgent ranks slots. */
	@Test
	public void urgentRequestsAreServedAtLeastAsOften() {
		assertThat(this.withQueue.served[0]).isGreaterThanOrEqualTo(this.withoutQueue.served[0]);
		assertThat(this.withQueue.served[0]).isGreaterThan(this.withQueue.served[2] - 0.05);
	}

	/**
	 * Guards against callers that are held for nothing. A wait that ends with a slot is
	 * worth more than a failed one can cost, so there must be more of them.
	 */
	@Test
	public void fewWaitsFailAfterTheHarmlessTime() {
		for (int rank = 0; rank < STREAMS.size(); rank++) {
			assertThat(this.withQueue.failedLong[rank]).isLessThan(this.withQueue.placed[rank]);
		}
	}

	/** Guards against large organisations that take the slots which become free. */
	@Test
	public void smallOrganisationsAreServedAsOftenAsLargeOnes() {
		assertThat(this.withQueue.inTimeOfSmall).isGreaterThan(this.withQueue.inTimeOfLarge - 0.02);
		assertThat(this.withQueue.inTimeOfLarge).isGreaterThan(this.withQueue.inTimeOfSmall / 2);
	}

	private static PlacementSimulation createSimulation(int entries, int seed) {
		return new PlacementSimulation(entries, ENGINES, seed, EnginePlacement.of(PROFILE, new Random(seed))::decide)
			.profile(PROFILE)
			.hidePlaces()
			.reportEveryMs(300)
			.staggerReports()
			.weighOrganisations(IntStream.range(0, ORGANISATIONS)
				.mapToDouble((organisation) -> (organisation < LARGE_ORGANISATIONS) ? LARGE_WEIGHT : 1)
				.toArray());
	}

	private static void addLoad(PlacementSimulation simulation) {
		for (int rank = 0; rank < STREAMS.size(); rank++) {
			simulation.addArrivals(STREAMS.get(rank), 0, 16_000, RATES[rank]);
		}
		simulation.addArrivals(STREAMS.get(2), 4_000, 10_000, 1.6 * RATES[2]);
		simulation.addArrivals(STREAMS.get(0), 5_000, 8_500, 0.7 * RATES[0]);
	}

	private static Outcome run(String name, Load load, boolean queued) {
		Outcome outcome = new Outcome();
		IntStream.rangeClosed(1, SEEDS).parallel().forEach((seed) -> {
			PlacementSimulation simulation = load.change().apply(createSimulation(load.entries(), seed));
			addLoad(simulation);
			QueuedEntries entries = new QueuedEntries(simulation, PROFILE, load.entries(), seed);
			if (queued) {
				simulation.behave(entries);
			}
			simulation.run(22_000);
			outcome.add(simulation, entries);
		});
		Reporter.log(load + ", " + name + ": " + outcome, true);
		return outcome;
	}

	/**
	 * A variant of the load.
	 */
	private record Load(String name, int entries, UnaryOperator<PlacementSimulation> change) {

		@Override
		public String toString() {
			return this.name;
		}

	}

	/**
	 * Means over all seeds, by rank.
	 */
	private static final class Outcome {

		private final double[] served = new double[STREAMS.size()];

		private final double[] inTime = new double[STREAMS.size()];

		private final double[] placed = new double[STREAMS.size()];

		private final double[] failed = new double[STREAMS.size()];

		private final double[] failedLong = new double[STREAMS.size()];

		private double value;

		private double inTimeOfLarge;

		private double inTimeOfSmall;

		private synchronized void add(PlacementSimulation simulation, QueuedEntries entries) {
			double attained = 0;
			double attainable = 0;
			for (int rank = 0; rank < STREAMS.size(); rank++) {
				PlacementSimulation.Result result = simulation.result(ofKind(STREAMS.get(rank)));
				attained += result.onTime() * VALUES_IN_TIME[rank] + result.late() * VALUES_LATE[rank];
				attainable += result.requests() * VALUES_IN_TIME[rank];
				this.served[rank] += (double) (result.onTime() + result.late()) / result.requests() / SEEDS;
				this.inTime[rank] += result.onTimeShare() / SEEDS;
				this.placed[rank] += (double) entries.waits(rank).placed / SEEDS;
				this.failed[rank] += (double) entries.waits(rank).failed / SEEDS;
				this.failedLong[rank] += (double) entries.waits(rank).failedLong / SEEDS;
			}
			this.value += attained / attainable / SEEDS;
			this.inTimeOfLarge += inTimeShare(simulation, 0, LARGE_ORGANISATIONS) / SEEDS;
			this.inTimeOfSmall += inTimeShare(simulation, LARGE_ORGANISATIONS, ORGANISATIONS) / SEEDS;
		}

		private static Predicate<PlacementSimulation.Outcome> ofKind(PlacementSimulation.StreamKind kind) {
			return (outcome) -> outcome.kind.equals(kind);
		}

		private static double inTimeShare(PlacementSimulation simulation, int from, int until) {
			return IntStream.range(from, until)
				.mapToDouble((organisation) -> simulation.result((outcome) -> outcome.organisation == organisation)
					.onTimeShare())
				.average()
				.getAsDouble();
		}

		@Override
		public String toString() {
			StringBuilder text = new StringBuilder(String.format(Locale.ROOT, "value %.3f", this.value));
			for (int rank = 0; rank < STREAMS.size(); rank++) {
				text.append(String.format(Locale.ROOT,
						"; rank %d: served %.3f, in time %.3f, waits placed %.0f, failed %.0f, of these long %.0f",
						rank, this.served[rank], this.inTime[rank], this.placed[rank], this.failed[rank],
						this.failedLong[rank]));
			}
			return text + String.format(Locale.ROOT, "; in time of large organisations %.3f, of small ones %.3f",
					this.inTimeOfLarge, this.inTimeOfSmall);
		}

	}

}
