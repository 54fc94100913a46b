package org.wigeontally.placement;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.function.UnaryOperator;

import org.testng.Reporter;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Slot reservation by rank, replayed in virtual time and compared with first come, first
 * served, with fixed shares, and with a scheduler that knows the engines' load at every
 * moment.
 */
public class RankReservationTests {

	private static final long SEED = 20_261_206;

	/** Rank 1 may use 10 of 12 slots and rank 2 may use 7. */
	private static final int[] FIXED_SHARES = { 0, 2, 5 };

	/** Reserved slots of all engines together. */
	private static final int[] PERFECT_RESERVES = { 0, 8, 24 };

	@DataProvider
	public Object[][] troubles() {
		return new Object[][] { trouble("none", 9, (replay) -> replay), trouble("none", 44, (replay) -> replay),
				trouble("none", 67, (replay) -> replay), trouble("late reports", 44, RankedReplay::reportLate),
				trouble("missing reports", 44, RankedReplay::loseReports),
				trouble("missing reports", 67, RankedReplay::loseReports),
				trouble("false reports", 44, RankedReplay::reportFalsely),
				trouble("one entry sees the burst", 9, RankedReplay::oneEntrySeesTheBurst),
				trouble("one entry sees the burst", 44, RankedReplay::oneEntrySeesTheBurst),
				trouble("region lost", 44, RankedReplay::loseRegionInTheBurst),
				trouble("retries at once", 44, RankedReplay::retryAtOnce) };
	}

	private static Object[] trouble(String name, int entries, UnaryOperator<RankedReplay> change) {
		return new Object[] { name, entries, change };
	}

	/** Guards against refusing the most urgent rank like all others in a burst. */
	@Test(dataProvider = "troubles")
	public void mostUrgentRankIsServedInTheBurst(String trouble, int entries, UnaryOperator<RankedReplay> change) {
		RankedReplay reserved = change.apply(new RankedReplay(entries, SEED, reserving(entries))).run();
		RankedReplay firstCome = change.apply(new RankedReplay(entries, SEED, fixed(0, 0, 0))).run();
		RankedReplay fixed = change.apply(new RankedReplay(entries, SEED, fixed(FIXED_SHARES))).run();
		RankedReplay perfect = change.apply(perfect(entries)).run();
		String figures = String.format(
				"%d entries, %s%n  reservation %s%n  first come %s%n  fixed shares %s%n" + "  perfect knowledge %s",
				entries, trouble, reserved, firstCome, fixed, perfect);
		Reporter.log(figures, true);
		// Of the most urgent requests that first come, first served refuses, half are
		// served.
		assertThat(1 - reserved.burst(0).servedShare()).as(figures)
			.isLessThan((1 - firstCome.burst(0).servedShare()) / 2);
		assertThat(reserved.valueShare()).as(figures).isGreaterThan(firstCome.valueShare());
	}

	/**
	 * Guards against starving the least urgent rank or large requests, and against an
	 * inversion of ranks, where each rank is served by what the more urgent ones leave.
	 */
	@Test(dataProvider = "troubles")
	public void noRankIsStarvedOrServedBeforeAMoreUrgentOne(String trouble, int entries,
			UnaryOperator<RankedReplay> change) {
		RankedReplay replay = change.apply(new RankedReplay(entries, SEED, reserving(entries))).run();
		for (int rank = 0; rank < RankedReplay.KINDS.size(); rank++) {
			String figures = String.format("rank %d, %d entries, %s: %s", rank, entries, trouble, replay);
			double served = replay.burst(rank).servedShare();
			assertThat(served).as(figures).isGreaterThanOrEqualTo(replay.burst().servedShare() / 4);
			assertThat(replay.largestTenth(rank).servedShare()).as(figures).isGreaterThanOrEqualTo(served / 2);
			for (int urgent = 0; urgent < rank; urgent++) {
				assertThat(replay.burst(urgent).servedShare()).as(figures).isGreaterThanOrEqualTo(served - 0.05);
				assertThat(replay.valueShare(urgent)).as(figures)
					.isGreaterThanOrEqualTo(replay.valueShare(rank) - 0.15);
			}
		}
	}

	/** Guards against slots that are kept although all requests find one. */
	@Test
	public void nothingIsKeptWithoutContention() {
		for (int entries : new int[] { 9, 44, 67 }) {
			RankedReplay reserved = new RankedReplay(entries, SEED, reserving(entries)).load(0.8).run();
			assertThat(reserved.before(2).servedShare()).as(reserved.toString()).isGreaterThan(0.98);
		}
	}

	/**
	 * Guards against a reservation that outlasts the contention or the floor of a rank.
	 */
	@Test
	public void reservationEndsWithTheContentionAndAtTheFloor() {
		RankDemand demand = RankDemand.create();
		RankReservation reservation = RankReservation.of(RankedReplay.PROFILE, demand);
		for (int i = 0; i < 20; i++) {
			demand.recordRequest(i % 2, 1_000);
			demand.recordPlacement(i % 2, 1_000);
		}
		assertThat(reservation.reserve(1, engines(11), 9, 1_000)).isEqualTo(Reservation.NONE);
		assertThat(reservation.reserve(1, engines(14), 9, 1_000).cause()).isEqualTo(Reservation.Cause.FULL_ENGINES);
		demand.recordRefusal(0, 1_000);
		Reservation contended = reservation.reserve(1, engines(11), 9, 1_000);
		assertThat(contended.cause()).isEqualTo(Reservation.Cause.REFUSAL);
		assertThat(contended.slots()).isBetween(1, 6);
		assertThat(reservation.reserve(0, engines(11), 9, 1_000)).isEqualTo(Reservation.NONE);
		assertThat(reservation.reserve(1, engines(9), 9, 1_000)).isEqualTo(Reservation.NONE);
		assertThat(reservation.reserve(1, engines(11), 9, 2_500)).isEqualTo(Reservation.NONE);
		for (int i = 0; i < 100; i++) {
			demand.recordRequest(0, 1_000);
			demand.recordPlacement(0, 1_000);
			demand.recordRequest(1, 1_000);
		}
		assertThat(reservation.reserve(1, engines(11), 9, 1_000))
			.isEqualTo(new Reservation(0, Reservation.Cause.FLOOR));
	}

	private static List<BackendCandidate> engines(int load) {
		return List.of(new BackendCandidate("a", 0, load, 1, 0), new BackendCandidate("b", 0, load, 1, 0));
	}

	private static PlacementSimulation.EntryStrategy reserving(int entries) {
		EnginePlacement placement = EnginePlacement.of(RankedReplay.PROFILE, new Random(SEED));
		List<RankDemand> demands = new ArrayList<>();
		for (int entry = 0; entry < entries; entry++) {
			demands.add(RankDemand.create());
		}
		return (entry, nowMs, request, candidates) -> {
			RankDemand demand = demands.get(entry);
			int rank = request.priority();
			demand.recordRequest(rank, nowMs);
			Reservation reservation = RankReservation.of(RankedReplay.PROFILE, demand)
				.reserve(rank, candidates, entries, nowMs);
			PlacementDecision decision = placement.decide(reserve(request, reservation.slots()), candidates);
			if (decision instanceof PlacementDecision.Place) {
				demand.recordPlacement(rank, nowMs);
			}
			else {
				demand.recordRefusal(rank, nowMs);
			}
			return decision;
		};
	}

	private static PlacementSimulation.EntryStrategy fixed(int... reservedSlots) {
		EnginePlacement placement = EnginePlacement.of(RankedReplay.PROFILE, new Random(SEED));
		return (entry, nowMs, request, candidates) -> placement
			.decide(reserve(request, reservedSlots[request.priority()]), candidates);
	}

	private static EngineRequest reserve(EngineRequest request, int slots) {
		return new EngineRequest(request.promptTokens(), request.answerTokens(), request.targetLeftMs(),
				request.deadlineLeftMs(), request.priority(), slots);
	}

	// Places each request at the engine with the most free slots, as they are now, and
	// keeps a few of all engines for more urgent ranks.
	private static RankedReplay perfect(int entries) {
		RankedReplay[] replay = new RankedReplay[1];
		replay[0] = new RankedReplay(entries, SEED, (entry, nowMs, request, candidates) -> {
			int best = Integer.parseInt(candidates.get(0).id());
			int free = 0;
			for (BackendCandidate candidate : candidates) {
				int engine = Integer.parseInt(candidate.id());
				int load = replay[0].simulation.requestsAt(engine);
				free += Math.max(0, RankedReplay.PROFILE.batchSlots() - load);
				best = (load < replay[0].simulation.requestsAt(best)) ? engine : best;
			}
			return (free > PERFECT_RESERVES[request.priority()])
					? new PlacementDecision.Place(Integer.toString(best), request.priority(), 0)
					: new PlacementDecision.Reject(1_700, 0, 0);
		});
		return replay[0];
	}

}
