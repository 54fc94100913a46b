package org.wigeontally.fleet;

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
 * first event. A request goes to the engine with the shortest time, but an engine in
 * another availability zone or region must save a minimum time. A request that is late or
 * would be late has little value left, so it gets a slot only if some remain for requests
 * that can meet their target. If there is no slot, the request is rejected at once with a
 * retry time after which a burst has passed. A caller that retries earlier finds the same
 * load and takes a slot from a new request.
 */
public final class EnginePlacement {

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
	 * Time that a request must save to go to another availability zone or region; traffic
	 * between regions has a cost.
	 */
	private static final double[] DISTANCE_COST_MS = { 0, 6, 30 };

	/**
	 * Cost of an engine with a full batch. Prompts of other requests are read in the same
	 * passes, and an engine with a high load is the first to fill up between two reports.
	 */
	private static final double FULL_BATCH_COST_MS = 80;

	/**
	 * Cost of an engine that fails all requests; proportionally less for lower failure
	 * rates.
	 */
	private static final double FAILURE_COST_MS = 600;

	/**
	 * Random part of the cost. Without it all entries choose the same engine until the
	 * next report; in the simulation this makes 10% fewer requests meet their target.
	 */
	private static final double JITTER_MS = 60;

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
	 * @param random source of the random part of the cost, so that entries do not all
	 * choose the same engine
	 * @return the placement
	 */
	public static EnginePlacement of(EngineProfile profile, RandomGenerator random) {
		return new EnginePlacement(profile, random);
	}

	/**
	 * Decides on one request.
	 * @param request the request
	 * @param candidates engines that can take the request; not empty
	 * @return the decision
	 */
	public PlacementDecision decide(EngineRequest request, List<BackendCandidate> candidates) {
		BackendCandidate best = null;
		double bestCost = Double.MAX_VALUE;
		for (BackendCandidate candidate : candidates) {
			double cost = predictFirstEventMs(request, candidate) + DISTANCE_COST_MS[candidate.distance()]
					+ utilisationCostMs(candidate) + candidate.failureRate() * FAILURE_COST_MS
					+ this.random.nextDouble() * JITTER_MS;
			if (cost < bestCost) {
				best = candidate;
				bestCost = cost;
			}
		}
		double firstEventMs = predictFirstEventMs(request, best);
		boolean onTime = firstEventMs + ON_TIME_MARGIN_MS <= request.targetLeftMs();
		int loadLimit = onTime ? this.profile.batchSlots() : this.profile.batchSlots() - RESERVED_SLOTS;
		if (best.load() >= loadLimit || firstEventMs > request.deadlineLeftMs()) {
			return new PlacementDecision.Reject(RETRY_AFTER_MS, best.load(), firstEventMs);
		}
		return new PlacementDecision.Place(best.id(), onTime ? enginePriority(request) : LATE_ENGINE_PRIORITY,
				firstEventMs);
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

	private double utilisationCostMs(BackendCandidate candidate) {
		double utilisation = (double) candidate.load() / this.profile.batchSlots();
		return FULL_BATCH_COST_MS * utilisation * utilisation;
	}

	private double queueDelayMs(BackendCandidate candidate) {
		int queuedRequests = candidate.load() + 1 - this.profile.batchSlots();
		return (queuedRequests <= 0) ? 0
				: queuedRequests * this.profile.completionIntervalMs() * candidate.slowdownFactor();
	}

}
