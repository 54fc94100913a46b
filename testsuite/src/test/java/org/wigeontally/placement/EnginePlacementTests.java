package org.wigeontally.placement;

import java.util.List;
import java.util.Random;

import org.testng.annotations.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Engine placement under peak load, simulated in virtual time and compared with placement
 * up to a fixed number of requests at each engine.
 */
public class EnginePlacementTests {

	private static final int ENTRIES = 8;

	private static final long SEED = 20_261_204;

	/** An engine with this profile completes about 9 requests per second. */
	private static final double REQUESTS_PER_SECOND_PER_ENGINE = 1_000
			/ PlacementSimulation.PROFILE.completionIntervalMs();

	/** Load rises in steps to 85% of the capacity of ten engines. */
	@Test
	public void loadStepsToPeak() {
		PlacementSimulation.Result result = runLoadSteps(predictivePlacement(), 10,
				0.85 * 10 * REQUESTS_PER_SECOND_PER_ENGINE);
		assertThat(result.onTimeShare()).isGreaterThan(0.9);
	}

	/**
	 * Load is 1.3 times the capacity of six engines, as long as four further engines are
	 * not available yet.
	 */
	@Test
	public void sustainedOverload() {
		double requestsPerSecond = 1.3 * 6 * REQUESTS_PER_SECOND_PER_ENGINE;
		PlacementSimulation.Result predicted = runLoadSteps(predictivePlacement(), 6, requestsPerSecond);
		assertThat(predicted.value())
			.isGreaterThan(runLoadSteps(fixedLimitPlacement(32), 6, requestsPerSecond).value());
		assertThat(predicted.value()).isGreaterThan(runLoadSteps(fixedLimitPlacement(8), 6, requestsPerSecond).value());
		assertThat(predicted.value())
			.isGreaterThanOrEqualTo(runLoadSteps(fixedLimitPlacement(16), 6, requestsPerSecond).value());
		// Engines process on-time requests only, so at most 1 / 1.3 of the requests are
		// on time.
		assertThat(predicted.onTimeShare()).isGreaterThan(0.75 / 1.3);
	}

	/** A burst of 1.7 times the base rate for three seconds. */
	@Test
	public void shortBurst() {
		PlacementSimulation.Result predicted = runBurst(predictivePlacement());
		assertThat(predicted.value()).isGreaterThan(runBurst(fixedLimitPlacement(16)).value());
		assertThat(predicted.onTimeShare()).isGreaterThan(0.75);
	}

	/** A third of the engines is unavailable for four seconds. */
	@Test
	public void zoneLoss() {
		PlacementSimulation.Result predicted = runZoneLoss(predictivePlacement());
		assertThat(predicted.value()).isGreaterThan(runZoneLoss(fixedLimitPlacement(16)).value());
	}

	/**
	 * 49 entries and 63 engines at 0.8 of the capacity. Entries that all choose the
	 * engine that looks best send several requests to the same free slot.
	 */
	@Test
	public void entriesDoNotCrowdTheEngineThatLooksBest() {
		double drawn = runLargeFleet(predictivePlacement(), 75).onTimeShare();
		assertThat(drawn).isGreaterThan(0.9);
		assertThat(drawn).isGreaterThan(runLargeFleet(fixedLimitPlacement(16), 75).onTimeShare() + 0.1);
	}

	/**
	 * The entries and engines of one region at 0.95 of the capacity: reports as often as
	 * an agent that reports to all 49 entries sends them, and to the ten near ones only.
	 */
	@Test
	public void freshReportsLetMoreRequestsMeetTheirTarget() {
		assertThat(runRegion(60).onTimeShare()).isGreaterThan(runRegion(540).onTimeShare() + 0.1);
	}

	private static PlacementSimulation.Result runLargeFleet(PlacementSimulation.PlacementStrategy strategy,
			long reportIntervalMs) {
		PlacementSimulation simulation = new PlacementSimulation(49, 63, SEED, strategy)
			.reportEveryMs(reportIntervalMs);
		simulation.addArrivals(0, 5_000, 0.8 * 63 * REQUESTS_PER_SECOND_PER_ENGINE);
		return simulation.run(10_000);
	}

	private static PlacementSimulation.Result runRegion(long reportIntervalMs) {
		PlacementSimulation simulation = new PlacementSimulation(10, 13, SEED, predictivePlacement())
			.reportEveryMs(reportIntervalMs);
		simulation.addArrivals(0, 10_000, 0.95 * 13 * REQUESTS_PER_SECOND_PER_ENGINE);
		return simulation.run(15_000);
	}

	@Test
	public void onTimeRequestHasHigherPriorityThanLateOne() {
		EnginePlacement placement = EnginePlacement.of(PlacementSimulation.PROFILE, new Random(1));
		List<BackendCandidate> full = List.of(new BackendCandidate("a", 0, 11, 1, 0));
		PlacementDecision fresh = placement.decide(EngineRequest.of(600, 500, 6_000, 1), full);
		PlacementDecision late = placement.decide(EngineRequest.of(600, -100, 5_000, 1), full);
		assertThat(((PlacementDecision.Place) fresh).enginePriority())
			.isLessThan(((PlacementDecision.Place) late).enginePriority());
	}

	/**
	 * A region with few engines and as many callers as other regions must send requests
	 * to remote engines before its own engines are full.
	 */
	@Test
	public void overloadedLocalEnginesSpillOverToRemoteOnes() {
		assertThat(localShare(15, 2)).isLessThan(0.25);
		assertThat(localShare(6, 6)).isGreaterThan(0.75);
	}

	private static double localShare(int localLoad, int remoteLoad) {
		EnginePlacement placement = EnginePlacement.of(PlacementSimulation.PROFILE, new Random(1));
		List<BackendCandidate> candidates = List.of(new BackendCandidate("near", 0, localLoad, 1, 0),
				new BackendCandidate("far", 2, remoteLoad, 1, 0));
		int localCount = 0;
		for (int i = 0; i < 400; i++) {
			PlacementDecision decision = placement.decide(EngineRequest.of(900, 400, 6_000, 1), candidates);
			localCount += ((PlacementDecision.Place) decision).id().equals("near") ? 1 : 0;
		}
		return localCount / 400.0;
	}

	@Test
	public void lateRequestDoesNotTakeReservedSlots() {
		EnginePlacement placement = EnginePlacement.of(PlacementSimulation.PROFILE, new Random(1));
		List<BackendCandidate> nearlyFull = List.of(new BackendCandidate("a", 0, 13, 1, 0));
		assertThat(placement.decide(EngineRequest.of(600, 500, 6_000, 1), nearlyFull))
			.isInstanceOf(PlacementDecision.Place.class);
		assertThat(placement.decide(EngineRequest.of(600, -100, 5_000, 1), nearlyFull))
			.isInstanceOf(PlacementDecision.Reject.class);
	}

	/** Guards against a reservation for more urgent requests that has no effect. */
	@Test
	public void requestDoesNotTakeSlotsReservedForMoreUrgentOnes() {
		EnginePlacement placement = EnginePlacement.of(PlacementSimulation.PROFILE, new Random(1));
		EngineRequest request = new EngineRequest(600, 0, 500, 6_000, 2, 2);
		assertThat(placement.decide(request, List.of(new BackendCandidate("a", 0, 13, 1, 0))))
			.isInstanceOf(PlacementDecision.Place.class);
		assertThat(placement.decide(request, List.of(new BackendCandidate("a", 0, 14, 1, 0))))
			.isInstanceOf(PlacementDecision.Reject.class);
	}

	@Test
	public void requestIsNotRejectedWhileHalfOfTheSlotsAreFree() {
		EnginePlacement placement = EnginePlacement.of(PlacementSimulation.PROFILE, new Random(1));
		List<BackendCandidate> candidates = List.of(new BackendCandidate("a", 2, 8, 3, 0.4),
				new BackendCandidate("b", 0, 40, 1, 0));
		PlacementDecision decision = placement.decide(EngineRequest.of(3_000, -500, 3_000, 3), candidates);
		assertThat(decision).isInstanceOf(PlacementDecision.Place.class);
		assertThat(((PlacementDecision.Place) decision).id()).isEqualTo("a");
	}

	private static PlacementSimulation.Result runLoadSteps(PlacementSimulation.PlacementStrategy strategy, int engines,
			double peakRate) {
		PlacementSimulation simulation = new PlacementSimulation(ENTRIES, engines, SEED, strategy);
		simulation.addArrivals(0, 3_000, 0.55 * peakRate);
		simulation.addArrivals(3_000, 6_000, 0.8 * peakRate);
		simulation.addArrivals(6_000, 16_000, peakRate);
		return simulation.run(24_000);
	}

	private static PlacementSimulation.Result runBurst(PlacementSimulation.PlacementStrategy strategy) {
		double baseRate = 0.7 * 10 * REQUESTS_PER_SECOND_PER_ENGINE;
		PlacementSimulation simulation = new PlacementSimulation(ENTRIES, 10, SEED, strategy);
		simulation.addArrivals(0, 6_000, baseRate);
		simulation.addArrivals(6_000, 9_000, 1.7 * baseRate);
		simulation.addArrivals(9_000, 16_000, baseRate);
		return simulation.run(24_000);
	}

	private static PlacementSimulation.Result runZoneLoss(PlacementSimulation.PlacementStrategy strategy) {
		PlacementSimulation simulation = new PlacementSimulation(ENTRIES, 9, SEED, strategy);
		simulation.addArrivals(0, 16_000, 0.8 * 9 * REQUESTS_PER_SECOND_PER_ENGINE);
		for (int engine = 0; engine < 3; engine++) {
			simulation.makeUnavailable(engine, 5_000, 9_000);
		}
		return simulation.run(24_000);
	}

	private static PlacementSimulation.PlacementStrategy predictivePlacement() {
		return EnginePlacement.of(PlacementSimulation.PROFILE, new Random(SEED))::decide;
	}

	// Chooses the engine with the lowest load, up to a fixed number of requests at each
	// engine.
	private static PlacementSimulation.PlacementStrategy fixedLimitPlacement(int maxRequestsPerEngine) {
		Random random = new Random(SEED);
		return (request, candidates) -> {
			BackendCandidate best = null;
			double least = Double.MAX_VALUE;
			for (BackendCandidate candidate : candidates) {
				double load = candidate.load() + random.nextDouble();
				if (load < least) {
					least = load;
					best = candidate;
				}
			}
			return (best.load() < maxRequestsPerEngine) ? new PlacementDecision.Place(best.id(), 5, 0)
					: new PlacementDecision.Reject(200, 0, 0);
		};
	}

}
