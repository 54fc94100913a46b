package org.wigeontally.placement;

import java.util.List;

/**
 * Decides how many slots of each engine are kept from the requests of a rank, so that
 * more urgent requests find them.
 *
 * <p>
 * It answers streams of several ranks that share engines with hardly a free slot, while
 * the least urgent rank rises to 2.6 times its rate for 6 s and the most urgent to 1.7
 * times for 3.5 s. First come, first served, all ranks are then refused alike.
 *
 * <p>
 * Every entry decides by itself, from what it knows anyway: the estimated load of the
 * engines, which is the same at all entries apart from its age, and its own requests. The
 * reservation is as large as the number of slots that more urgent requests take until the
 * load that they cause is reported. Their demand is compared with what completes: it is
 * the larger of the urgent share of the own requests, which holds if callers use few of
 * the entries, and the own urgent requests times the number of entries, which holds if
 * one entry receives a burst of less urgent requests alone.
 *
 * <p>
 * Nothing is kept unless a more urgent request was refused lately while the engines are
 * nearly full, or the engines have more requests than slots, which the entries see before
 * each of them has refused a request. A rank that is served too seldom compared with more
 * urgent ones gets slots like the most urgent one until it no longer is.
 */
public final class RankReservation {

	/**
	 * Time until the load by a request that is placed now is known to all entries: the
	 * interval of reports to other regions, 400 ms, and two passes of an engine, after
	 * which it has been admitted and the next requests are placed. With 200 ms and 44
	 * entries, the replay serves the most urgent rank a tenth less often.
	 */
	static final double REPORT_DELAY_MS = 600;

	/**
	 * Time for which a refused request shows that its rank lacks slots. With 67 entries
	 * each receives about five of the more urgent requests a second; at 300 ms, refusals
	 * alone keep slots too seldom.
	 */
	static final long REFUSAL_LIFETIME_MS = 1_000;

	/**
	 * Mean load of the engines, as a fraction of their slots, below which a refusal is no
	 * reason to keep slots. With 2 of 12 slots free, each rank finds one.
	 */
	static final double NEARLY_FULL = 10.0 / 12;

	/**
	 * Requests beyond the slots of an engine, on average, at which the whole reservation
	 * is in force; it grows with them from 0.
	 */
	static final double FULL_EXCESS = 1;

	/**
	 * How often a rank is served, relative to the more urgent ones, below which nothing
	 * is kept from it. In the replay each rank is then served at least 0.4 as often as
	 * all requests; callers need a quarter. A comparison with all requests would sink
	 * with the rank's own share where an entry receives little else.
	 */
	static final double MIN_RELATIVE_SHARE = 0.35;

	/**
	 * Largest reservation, as a fraction of the slots. A request must not be refused
	 * while half of the slots are free.
	 */
	static final double MAX_FRACTION = 0.5;

	/** Additional requests on both sides of the urgent share, against small samples. */
	private static final double PRIOR_REQUESTS = 2;

	private final EngineProfile profile;

	private final RankDemand demand;

	private RankReservation(EngineProfile profile, RankDemand demand) {
		this.profile = profile;
		this.demand = demand;
	}

	/**
	 * Creates the reservation of a service.
	 * @param profile performance profile of its engines
	 * @param demand requests of its ranks at this entry
	 * @return the reservation
	 */
	public static RankReservation of(EngineProfile profile, RankDemand demand) {
		return new RankReservation(profile, demand);
	}

	/**
	 * Decides what is kept from a request.
	 * @param rank its rank, 0 for the most urgent
	 * @param candidates engines that can take the request
	 * @param entries number of entries
	 * @param nowMs current time in milliseconds
	 * @return the reservation
	 */
	public Reservation reserve(int rank, List<BackendCandidate> candidates, int entries, long nowMs) {
		int urgentRequests = this.demand.recentRequestsAbove(rank, nowMs);
		if (urgentRequests == 0 || candidates.isEmpty()) {
			return Reservation.NONE;
		}
		// Engines of which nothing is known look nearly idle.
		double meanLoad = candidates.stream()
			.filter((candidate) -> candidate.blindRequests() < 0)
			.mapToInt(BackendCandidate::load)
			.average()
			.orElse(0);
		boolean refused = meanLoad >= NEARLY_FULL * this.profile.batchSlots()
				&& this.demand.sinceRefusalAboveMs(rank, nowMs) <= REFUSAL_LIFETIME_MS;
		double excess = (meanLoad - this.profile.batchSlots()) / FULL_EXCESS;
		double strength = refused ? 1 : Math.max(0, Math.min(1, excess));
		double urgentSlots = urgentDemand(urgentRequests, candidates.size(), entries, nowMs) * REPORT_DELAY_MS
				/ this.profile.completionIntervalMs();
		int slots = (int) Math.min(MAX_FRACTION * this.profile.batchSlots(), Math.round(strength * urgentSlots));
		if (slots == 0) {
			return Reservation.NONE;
		}
		if (this.demand.relativeShare(rank, nowMs) < MIN_RELATIVE_SHARE) {
			return new Reservation(0, Reservation.Cause.FLOOR);
		}
		return new Reservation(slots, refused ? Reservation.Cause.REFUSAL : Reservation.Cause.FULL_ENGINES);
	}

	// Requests of more urgent ranks for each request that the engines complete. While
	// they are full, they complete as many as are placed.
	private double urgentDemand(int urgentRequests, int engines, int entries, long nowMs) {
		double ofOwn = (urgentRequests + PRIOR_REQUESTS) / (this.demand.recentPlacements(nowMs) + 2 * PRIOR_REQUESTS);
		double completed = engines * RankDemand.MIX_WINDOW_MS / this.profile.completionIntervalMs();
		double ofAll = urgentRequests * entries / completed;
		return Math.max(ofOwn, ofAll);
	}

}
