package org.wigeontally.fleet;

import java.util.List;
import java.util.Random;

import org.testng.annotations.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Placement at the worst loads, replayed in virtual time against plainer ways.
 */
public class EnginePlacementTests {

	private static final int ENTRIES = 8;

	private static final long SEED = 20_261_204;

	/** An engine of the model ends about 9 requests a second. */
	private static final double ENGINE_PER_SECOND = 1_000 / EngineReplay.MODEL.completionIntervalMs();

	/** Steps up to 85% of what ten engines carry. */
	@Test
	public void stepsToPeak() {
		EngineReplay.Result result = steps(predicted(), 10, 0.85 * 10 * ENGINE_PER_SECOND);
		assertThat(result.onTimeShare()).isGreaterThan(0.9);
	}

	/** Six engines carry less than what comes until four more are in. */
	@Test
	public void moreThanTheEnginesCarry() {
		double perSecond = 1.3 * 6 * ENGINE_PER_SECOND;
		EngineReplay.Result predicted = steps(predicted(), 6, perSecond);
		assertThat(predicted.worth()).isGreaterThan(steps(fixedPlaces(32), 6, perSecond).worth());
		assertThat(predicted.worth()).isGreaterThan(steps(fixedPlaces(8), 6, perSecond).worth());
		assertThat(predicted.worth()).isGreaterThanOrEqualTo(steps(fixedPlaces(16), 6, perSecond).worth());
		// Every engine is busy with requests that are on time: at most what they carry.
		assertThat(predicted.onTimeShare()).isGreaterThan(0.75 / 1.3);
	}

	/** A burst of 1.7 times the usual for three seconds. */
	@Test
	public void burst() {
		EngineReplay.Result predicted = burst(predicted());
		assertThat(predicted.worth()).isGreaterThan(burst(fixedPlaces(16)).worth());
		assertThat(predicted.onTimeShare()).isGreaterThan(0.75);
	}

	/** A third of the engines is lost for some seconds. */
	@Test
	public void zoneLost() {
		EngineReplay.Result predicted = zoneLost(predicted());
		assertThat(predicted.worth()).isGreaterThan(zoneLost(fixedPlaces(16)).worth());
	}

	@Test
	public void requestThatCanBeOnTimeGoesBeforeLateOnes() {
		EnginePlacement placement = EnginePlacement.of(EngineReplay.MODEL, new Random(1));
		List<BackendCandidate> full = List.of(new BackendCandidate("a", 0, 11, 1, 0));
		PlacementDecision fresh = placement.decide(new EngineRequest(600, 500, 6_000, 1), full);
		PlacementDecision late = placement.decide(new EngineRequest(600, -100, 5_000, 1), full);
		assertThat(((PlacementDecision.Place) fresh).enginePriority())
			.isLessThan(((PlacementDecision.Place) late).enginePriority());
	}

	/**
	 * A region with few engines and as many callers as the others spills over in time.
	 */
	@Test
	public void crowdedEnginesNearbyAreLeftForEmptyOnesFarAway() {
		assertThat(shareSentNear(15, 2)).isLessThan(0.25);
		assertThat(shareSentNear(6, 6)).isGreaterThan(0.75);
	}

	private static double shareSentNear(int loadNear, int loadFar) {
		EnginePlacement placement = EnginePlacement.of(EngineReplay.MODEL, new Random(1));
		List<BackendCandidate> rows = List.of(new BackendCandidate("near", 0, loadNear, 1, 0),
				new BackendCandidate("far", 2, loadFar, 1, 0));
		int near = 0;
		for (int i = 0; i < 400; i++) {
			PlacementDecision decision = placement.decide(new EngineRequest(900, 400, 6_000, 1), rows);
			near += ((PlacementDecision.Place) decision).id().equals("near") ? 1 : 0;
		}
		return near / 400.0;
	}

	@Test
	public void lateRequestLeavesTheLastPlacesToOthers() {
		EnginePlacement placement = EnginePlacement.of(EngineReplay.MODEL, new Random(1));
		List<BackendCandidate> nearlyFull = List.of(new BackendCandidate("a", 0, 13, 1, 0));
		assertThat(placement.decide(new EngineRequest(600, 500, 6_000, 1), nearlyFull))
			.isInstanceOf(PlacementDecision.Place.class);
		assertThat(placement.decide(new EngineRequest(600, -100, 5_000, 1), nearlyFull))
			.isInstanceOf(PlacementDecision.Reject.class);
	}

	@Test
	public void nobodyIsTurnedAwayWhileHalfOfThePlacesAreFree() {
		EnginePlacement placement = EnginePlacement.of(EngineReplay.MODEL, new Random(1));
		List<BackendCandidate> rows = List.of(new BackendCandidate("a", 2, 8, 3, 0.4),
				new BackendCandidate("b", 0, 40, 1, 0));
		PlacementDecision decision = placement.decide(new EngineRequest(3_000, -500, 3_000, 3), rows);
		assertThat(decision).isInstanceOf(PlacementDecision.Place.class);
		assertThat(((PlacementDecision.Place) decision).id()).isEqualTo("a");
	}

	private static EngineReplay.Result steps(EngineReplay.Chooser chooser, int engines, double peak) {
		EngineReplay replay = new EngineReplay(ENTRIES, engines, SEED, chooser);
		replay.arrive(0, 3_000, 0.55 * peak);
		replay.arrive(3_000, 6_000, 0.8 * peak);
		replay.arrive(6_000, 16_000, peak);
		return replay.run(24_000);
	}

	private static EngineReplay.Result burst(EngineReplay.Chooser chooser) {
		double usual = 0.7 * 10 * ENGINE_PER_SECOND;
		EngineReplay replay = new EngineReplay(ENTRIES, 10, SEED, chooser);
		replay.arrive(0, 6_000, usual);
		replay.arrive(6_000, 9_000, 1.7 * usual);
		replay.arrive(9_000, 16_000, usual);
		return replay.run(24_000);
	}

	private static EngineReplay.Result zoneLost(EngineReplay.Chooser chooser) {
		EngineReplay replay = new EngineReplay(ENTRIES, 9, SEED, chooser);
		replay.arrive(0, 16_000, 0.8 * 9 * ENGINE_PER_SECOND);
		for (int engine = 0; engine < 3; engine++) {
			replay.away(engine, 5_000, 9_000);
		}
		return replay.run(24_000);
	}

	private static EngineReplay.Chooser predicted() {
		return EnginePlacement.of(EngineReplay.MODEL, new Random(SEED))::decide;
	}

	// Least loaded, up to a fixed number of requests at each engine.
	private static EngineReplay.Chooser fixedPlaces(int places) {
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
			return (best.load() < places) ? new PlacementDecision.Place(best.id(), 5, 0)
					: new PlacementDecision.Reject(200, 0, 0);
		};
	}

}
