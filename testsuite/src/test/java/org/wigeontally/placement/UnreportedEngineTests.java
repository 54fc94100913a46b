package org.wigeontally.placement;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.Set;

import org.testng.Reporter;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Placement in virtual time while agents do not report.
 */
public class UnreportedEngineTests {

	private static final long SEED = 20_261_206;

	private static final int HERD_SEEDS = 20;

	private static final int ENGINES = 6;

	private static final int QUEUE = 4;

	private static final int MAX_SENDINGS = 3;

	private static final double MEAN_SERVICE_MS = 1_500;

	private static final long END_MS = 20_000;

	private static final EngineProfile BASE = PlacementSimulation.PROFILE;

	@DataProvider
	public Object[][] fleets() {
		return new Object[][] { { 9, 12 }, { 9, 16 }, { 40, 12 }, { 40, 16 } };
	}

	@Test(dataProvider = "fleets")
	public void requestsAreNotRefusedWhileHalfOfThePlacesAreFree(int entries, int places) {
		for (double traffic : new double[] { 0.6, 1 }) {
			for (int away : new int[] { ENGINES / 3, ENGINES }) {
				for (int usedEntries : new int[] { 2, entries }) {
					check(new Replay(entries, places, away, true, SEED), traffic, usedEntries);
					check(new Replay(entries, places, away, false, SEED), traffic, usedEntries);
				}
			}
		}
	}

	private static void check(Replay replay, double traffic, int usedEntries) {
		Replay multiplied = new Replay(replay.loads.length, replay.places, replay.away, replay.headers, SEED);
		multiplied.multiplied = true;
		String figures = String.format("traffic %.1f at %d entries, %s; own requests multiplied: %s", traffic,
				usedEntries, replay.run(traffic, usedEntries), multiplied.run(traffic, usedEntries));
		Reporter.log(figures);
		assertThat(replay.refusedBelowHalf).as(figures).isZero();
		// Callers' retries are bounded by half a retry for each request.
		assertThat(replay.refusedByEngines).as(figures).isLessThanOrEqualTo(replay.requests / 2);
	}

	/**
	 * All entries see idle engines at once, and together get one request for each place.
	 */
	@Test
	public void entriesThatSeeIdleEnginesAtOnceDoNotCrowdOne() {
		checkHerd(ENGINES * 16);
	}

	@Test
	public void entriesThatSeeIdleEnginesAtOnceFillThreeQuartersOfThemEvenly() {
		checkHerd(ENGINES * 16 * 3 / 4);
	}

	private static void checkHerd(int requests) {
		int refusedByEngines = 0;
		for (int seed = 0; seed <= HERD_SEEDS; seed++) {
			Replay replay = new Replay(9, 16, ENGINES, false, (seed == 0) ? SEED : seed);
			for (int i = 0; i < requests; i++) {
				replay.arrive(i % 9, new HashSet<>(), 0);
			}
			assertThat(replay.refusedBelowHalf).isZero();
			refusedByEngines += replay.refusedByEngines;
		}
		assertThat(refusedByEngines).as("sent beyond places and queue").isZero();
	}

	@Test
	public void silentStreamFindsSuccessorAmongEnginesWithoutReports() {
		BackendLoad load = BackendLoad.create();
		load.setPlaces(12);
		load.recordSent();
		load.recordSent();
		EnginePlacement placement = EnginePlacement.of(profile(12), new Random(1));
		BackendCandidate candidate = new BackendCandidate("a", 0, load.estimatedRequests(10_000, 40), 1, 0);
		assertThat(placement.decide(EngineRequest.of(600, -500, 3_000, 1), List.of(candidate)))
			.isInstanceOf(PlacementDecision.Place.class);
	}

	@Test
	public void refusalOfAnEngineCountsAsFullForAShortTime() {
		BackendLoad load = BackendLoad.create();
		load.setPlaces(16);
		load.recordRefusal(10_000, 10_000);
		assertThat(load.estimatedRequests(10_050, 9)).isGreaterThanOrEqualTo(16);
		assertThat(load.estimatedRequests(12_000, 9)).isLessThan(8);
		load.recordRefusal(20_000, 20_000);
		load.recordReport(3, 1, 20_010);
		assertThat(load.estimatedRequests(20_020, 9)).isEqualTo(3);
		load.recordRefusal(20_005, 20_020);
		assertThat(load.estimatedRequests(20_030, 9)).isEqualTo(3);
	}

	private static EngineProfile profile(int places) {
		return new EngineProfile(places, BASE.kvCacheTokens(), BASE.decodeStepMs(), BASE.stepMsPerSequence(),
				BASE.stepMsPerThousandContextTokens(), BASE.prefillTokensPerMs(), BASE.attentionMsPerMillionPairs(),
				BASE.stepsPerPass(), BASE.meanPromptTokens(), BASE.meanAnswerTokens(), BASE.modelNames(),
				BASE.layerCount(), BASE.chunkCount(), BASE.chunkBytes());
	}

	/**
	 * Entries, engines and agents, which are away after the start and three times later.
	 */
	private static final class Replay {

		private final Random random;

		private final PriorityQueue<Event> events = new PriorityQueue<>(Comparator.comparingDouble(Event::atMs));

		private final int[] running = new int[ENGINES];

		private final List<List<Integer>> waiting = new ArrayList<>();

		private final long[] reportedMs = new long[ENGINES];

		private final BackendLoad[][] loads;

		private final EnginePlacement placement;

		private final int places;

		private final int away;

		private final boolean headers;

		// Own requests times entries are the load without a recent report.
		private boolean multiplied;

		private double nowMs = 10_000;

		private int requests;

		private int refusedBelowHalf;

		private int refusedWithFreePlaces;

		private int refused;

		private int refusedByEngines;

		private int mostAtEngine;

		private Replay(int entries, int places, int away, boolean headers, long seed) {
			this.random = new Random(seed);
			this.places = places;
			this.away = away;
			this.headers = headers;
			this.loads = new BackendLoad[entries][ENGINES];
			for (BackendLoad[] entry : this.loads) {
				for (int engine = 0; engine < ENGINES; engine++) {
					entry[engine] = BackendLoad.create();
					entry[engine].setPlaces(places);
				}
			}
			for (int engine = 0; engine < ENGINES; engine++) {
				this.waiting.add(new ArrayList<>());
			}
			this.placement = EnginePlacement.of(profile(places), this.random);
		}

		private Replay run(double traffic, int usedEntries) {
			double startMs = this.nowMs;
			double meanGapMs = MEAN_SERVICE_MS / (traffic * ENGINES * this.places);
			for (double atMs = startMs; atMs < startMs + END_MS; atMs += exponential(meanGapMs)) {
				int entry = this.random.nextInt(usedEntries);
				this.events.add(new Event(atMs, () -> arrive(entry, new HashSet<>(), 0)));
				this.requests++;
			}
			// Away for 3 s after the start, then for 1 s, 8 s and 2 s with 1 s between.
			double[][] absences = { { 0, 3 }, { 4, 5 }, { 6, 14 }, { 15, 17 } };
			for (int atMs = 0; atMs < END_MS; atMs += 100) {
				double second = atMs / 1_000.0;
				boolean absent = false;
				for (double[] absence : absences) {
					absent |= second >= absence[0] && second < absence[1];
				}
				int first = absent ? this.away : 0;
				this.events.add(new Event(startMs + atMs, () -> report(first)));
			}
			while (!this.events.isEmpty()) {
				Event next = this.events.poll();
				this.nowMs = next.atMs();
				next.action().run();
			}
			return this;
		}

		private double exponential(double mean) {
			return -Math.log(1 - this.random.nextDouble()) * mean;
		}

		private void report(int firstEngine) {
			for (int engine = firstEngine; engine < ENGINES; engine++) {
				this.reportedMs[engine] = (long) this.nowMs;
				for (BackendLoad[] entry : this.loads) {
					entry[engine].recordReport(count(engine), 1, (long) this.nowMs);
				}
			}
		}

		private int count(int engine) {
			return this.running[engine] + this.waiting.get(engine).size();
		}

		private void arrive(int entry, Set<Integer> tried, int sendings) {
			List<BackendCandidate> candidates = new ArrayList<>();
			for (int engine = 0; engine < ENGINES; engine++) {
				if (!tried.contains(engine)) {
					int blindRequests = this.multiplied ? -1
							: this.loads[entry][engine].blindRequests((long) this.nowMs);
					candidates.add(new BackendCandidate(Integer.toString(engine), 0, estimate(entry, engine), 1, 0,
							blindRequests));
				}
			}
			PlacementDecision decision = this.placement.decide(EngineRequest.of(600, 450, 6_000, 1), candidates);
			if (!(decision instanceof PlacementDecision.Place place) || sendings == MAX_SENDINGS) {
				recordRefused(tried);
				return;
			}
			int engine = Integer.parseInt(place.id());
			this.loads[entry][engine].recordSent();
			if (count(engine) >= this.places + QUEUE) {
				this.refusedByEngines++;
				this.loads[entry][engine].recordEnd();
				recordHeader(entry, engine);
				if (!this.multiplied) {
					this.loads[entry][engine].recordRefusal((long) this.nowMs, (long) this.nowMs);
				}
				tried.add(engine);
				arrive(entry, tried, sendings + 1);
				return;
			}
			this.waiting.get(engine).add(entry);
			start(engine);
			this.mostAtEngine = Math.max(this.mostAtEngine, count(engine));
		}

		private int estimate(int entry, int engine) {
			BackendLoad load = this.loads[entry][engine];
			boolean reported = load.reportAgeMs((long) this.nowMs) <= BackendLoad.MAX_REPORT_AGE_MS;
			return (this.multiplied && !reported) ? load.inFlight() * this.loads.length
					: load.estimatedRequests((long) this.nowMs, this.loads.length);
		}

		private void recordRefused(Set<Integer> tried) {
			int taken = 0;
			boolean free = false;
			for (int engine = 0; engine < ENGINES; engine++) {
				taken += count(engine);
				free |= !tried.contains(engine) && count(engine) < this.places;
			}
			this.refused++;
			this.refusedBelowHalf += (2 * taken < ENGINES * this.places) ? 1 : 0;
			this.refusedWithFreePlaces += free ? 1 : 0;
		}

		private void start(int engine) {
			if (this.running[engine] == this.places || this.waiting.get(engine).isEmpty()) {
				return;
			}
			int entry = this.waiting.get(engine).remove(0);
			this.running[engine]++;
			this.events.add(new Event(this.nowMs + 100, () -> recordHeader(entry, engine)));
			this.events.add(new Event(this.nowMs + 100 + exponential(MEAN_SERVICE_MS - 100), () -> {
				this.running[engine]--;
				this.loads[entry][engine].recordEnd();
				start(engine);
			}));
		}

		private void recordHeader(int entry, int engine) {
			if (this.headers && this.nowMs - this.reportedMs[engine] > BackendLoad.MAX_REPORT_AGE_MS) {
				this.loads[entry][engine].recordReport(count(engine), 1, (long) this.nowMs);
			}
		}

		@Override
		public String toString() {
			return String.format(
					"%d entries, %d places, %d agents away, headers %s, %d requests: "
							+ "refused %d (below half %d, with free places %d), by engines %d, most %d",
					this.loads.length, this.places, this.away, this.headers, this.requests, this.refused,
					this.refusedBelowHalf, this.refusedWithFreePlaces, this.refusedByEngines, this.mostAtEngine);
		}

	}

	private record Event(double atMs, Runnable action) {

	}

}
