package org.wigeontally.placement;

import java.util.List;
import java.util.random.RandomGenerator;

/**
 * Places requests on model engines, each of which processes a batch of fixed size.
 *
 * <p>
 * The placement must handle load that rises to or above the capacity of the engines while
 * some of them are lost or load weights. An engine with a full batch completes a request
 * about every 100 ms. A queue of a few requests therefore uses up the whole target time
 * to the first event, and then every request is late. If the limit on the requests at an
 * engine is too low, slots stay empty between two load reports.
 *
 * <p>
 * The limit is therefore the size of the batch, so that requests do not queue at an
 * engine. The time to the first event is predicted for each engine from its estimated
 * load: the rest of the current pass, reading the prompt, and the pass that writes the
 * first event. A request that is late or would be late has little value left, so it gets
 * a slot only if some remain for requests that can meet their target. If there is no
 * slot, the request is rejected at once with a retry time after which a burst has passed.
 * A caller that retries earlier finds the same load and takes a slot from a new request.
 *
 * <p>
 * Between two reports all entries see the same load. If each chose the engine that looks
 * best, they would all choose the same one, which then has a queue while others have free
 * slots; with 49 entries and 63 engines of 8 slots a fifth of the requests is late for
 * this reason at 0.8 of the capacity. Therefore an engine is drawn at random with a
 * weight that is proportional to its free slots, so that the expected number of requests
 * at each engine matches its room whatever the number of entries. The weight falls with
 * the predicted time, the failure rate, and the distance.
 */
public final class EnginePlacement implements PlacementStrategy {

	/**
	 * Slots of each engine that are reserved for requests that can meet their target.
	 */
	static final int RESERVED_SLOTS = 4;

	/** Engine priority of requests that miss their target. */
	static final int LATE_ENGINE_PRIORITY = 8;

	/** Highest engine priority of requests that can meet their target. */
	static final int TOP_ENGINE_PRIORITY = 2;

	private static final int PRIORITY_LEVELS = 4;

	/**
	 * Weight of an engine in the same availability zone, in the same region and in
	 * another region; traffic between regions has a cost.
	 */
	private static final double[] DISTANCE_WEIGHTS = { 1, 0.8, 0.3 };

	/**
	 * Fraction of the slots of an engine in another region that must stay free; reports
	 * from there are older, and all other regions send requests there.
	 */
	private static final double REMOTE_FREE_FRACTION = 0.125;

	/**
	 * Additional time to the first event by which the weight of an engine falls by a
	 * factor of e.
	 */
	private static final double TIME_SCALE_MS = 60;

	/**
	 * Time that an engine that fails all requests is considered slower; proportionally
	 * less for lower failure rates.
	 */
	private static final double FAILURE_COST_MS = 600;

	/**
	 * Safety margin for the network time to the caller and for load that other entries
	 * add.
	 */
	private static final double ON_TIME_MARGIN_MS = 40;

	/**
	 * Time after which the caller of a rejected request retries. Its answer is late in
	 * any case. Bursts and the loading of weights last one or two seconds, and a retry
	 * within that time is rejected for good.
	 */
	private static final double RETRY_AFTER_MS = 1_700;

	private final EngineProfile profile;

	private final RandomGenerator random;

	private EnginePlacement(EngineProfile profile, RandomGenerator random) {
		this.profile = profile;
		this.random = random;
	}

	/**
	 * Creates the placement of a service.
	 * @param profile performance profile of its engines
	 * @param random source of the draws
	 * @return the placement
	 */
	public static EnginePlacement of(EngineProfile profile, RandomGenerator random) {
		return new EnginePlacement(profile, random);
	}

	@Override
	public PlacementDecision decide(EngineRequest request, List<BackendCandidate> candidates) {
		double[] firstEventMs = new double[candidates.size()];
		int fastest = 0;
		for (int i = 0; i < firstEventMs.length; i++) {
			firstEventMs[i] = predictFirstEventMs(request, candidates.get(i));
			fastest = (firstEventMs[i] < firstEventMs[fastest]) ? i : fastest;
		}
		int drawn = -1;
		double shortestRaceTime = Double.MAX_VALUE;
		for (int i = 0; i < firstEventMs.length; i++) {
			BackendCandidate candidate = candidates.get(i);
			if (!hasSlot(request, candidate, firstEventMs[i])) {
				continue;
			}
			// The first of independent exponential times is each one's with a probability
			// proportional to its weight.
			double raceTime = -Math.log(1 - this.random.nextDouble())
					/ (weight(candidate, firstEventMs[i] - firstEventMs[fastest])
							* UnreportedSpread.weight(candidate, candidates));
			if (drawn < 0 || raceTime < shortestRaceTime) {
				drawn = i;
				shortestRaceTime = raceTime;
			}
		}
		if (drawn < 0) {
			return new PlacementDecision.Reject(RETRY_AFTER_MS, candidates.get(fastest).load(), firstEventMs[fastest]);
		}
		int priority = isOnTime(request, firstEventMs[drawn]) ? enginePriority(request) : LATE_ENGINE_PRIORITY;
		return new PlacementDecision.Place(candidates.get(drawn).id(), priority, firstEventMs[drawn]);
	}

	private double weight(BackendCandidate candidate, double additionalMs) {
		int freeSlots = this.profile.batchSlots() - candidate.load();
		double costMs = additionalMs + candidate.failureRate() * FAILURE_COST_MS;
		return DISTANCE_WEIGHTS[candidate.distance()] * freeSlots * Math.exp(-costMs / TIME_SCALE_MS);
	}

	private static boolean isOnTime(EngineRequest request, double firstEventMs) {
		return firstEventMs + ON_TIME_MARGIN_MS <= request.targetLeftMs();
	}

	private boolean hasSlot(EngineRequest request, BackendCandidate candidate, double firstEventMs) {
		int reservedSlots = Math.max(request.reservedSlots(), isOnTime(request, firstEventMs) ? 0 : RESERVED_SLOTS);
		boolean remote = candidate.distance() == DISTANCE_WEIGHTS.length - 1;
		int remoteSlots = remote ? (int) Math.ceil(this.profile.batchSlots() * REMOTE_FREE_FRACTION) : 0;
		int loadLimit = this.profile.batchSlots() - Math.max(reservedSlots, remoteSlots);
		return candidate.load() < loadLimit && firstEventMs <= request.deadlineLeftMs();
	}

	private static int enginePriority(EngineRequest request) {
		return TOP_ENGINE_PRIORITY + Math.min(request.priority(), PRIORITY_LEVELS - 1);
	}

	double predictFirstEventMs(EngineRequest request, BackendCandidate candidate) {
		int batchSize = Math.min(candidate.load() + 1, this.profile.batchSlots());
		double passMs = this.profile.passMs(batchSize);
		double currentPassMs = (candidate.load() == 0) ? 0 : passMs / 2;
		double ownWorkMs = this.profile.prefillMs(request.promptTokens()) + passMs;
		return queueDelayMs(candidate) + (currentPassMs + ownWorkMs) * candidate.slowdownFactor();
	}

	private double queueDelayMs(BackendCandidate candidate) {
		int queuedRequests = candidate.load() + 1 - this.profile.batchSlots();
		return (queuedRequests <= 0) ? 0
				: queuedRequests * this.profile.completionIntervalMs() * candidate.slowdownFactor();
	}

}
