package org.wigeontally.fleet;

import java.util.List;
import java.util.random.RandomGenerator;

/**
 * Places requests on model engines, each with a batch of fixed size.
 *
 * <p>
 * The load pattern: traffic steps up to or beyond what the engines carry, while some of
 * them are lost or load weights. An engine whose batch is full ends a request about every
 * tenth of a second, so a queue of a few requests uses up the whole time within which a
 * first event counts as on time, and then every request is late. With too low a bound on
 * the requests at an engine, places stay empty between two reports.
 *
 * <p>
 * So the bound is the size of the batch: nothing waits at an engine. The time to the
 * first event is predicted for each engine from its estimated load: what is left of the
 * running pass, reading the prompt, and the pass that writes the first event. Requests go
 * where that time is shortest; a small difference is not worth a border between regions.
 * A request that is late already, or would be, has a small part of its worth left, so it
 * gets a place only while some are left over for those that can be on time. Whoever finds
 * no place is turned away at once, with a time after which a burst has passed: a caller
 * who returns sooner meets the same load and takes a place from a fresh request.
 */
public final class EnginePlacement {

	/** Places at each engine that only requests that can be on time may take. */
	static final int RESERVED_SLOTS = 4;

	/** Rank of requests that are late already. */
	static final int LATE_ENGINE_PRIORITY = 8;

	/** Rank of the most urgent requests that can be on time. */
	static final int TOP_ENGINE_PRIORITY = 2;

	private static final int PRIORITY_LEVELS = 4;

	/**
	 * Time that another zone or region must save; traffic between regions has a price.
	 */
	private static final double[] DISTANCE_COST_MS = { 0, 6, 30 };

	/**
	 * Time by which an engine with a full batch seems slower: prompts of others are read
	 * in the same passes, and a crowded engine is the first to fill up between two
	 * reports.
	 */
	private static final double FULL_BATCH_COST_MS = 80;

	/** Time added for an engine that fails all its requests; a share of it for less. */
	private static final double FAILURE_COST_MS = 600;

	/**
	 * Random part of the choice. Without it all entries choose the same engine until the
	 * next report; the replay loses a tenth of what is on time.
	 */
	private static final double JITTER_MS = 60;

	/** Margin for the way to the caller and for loads that other entries add. */
	private static final double ON_TIME_MARGIN_MS = 40;

	/**
	 * Time after which a caller that was turned away comes back. Its answer will be late
	 * whenever it comes; loads and bursts take a second or two, and one that returns
	 * within them is turned away for good.
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
	 * @param model figures of its engines
	 * @param random breaks ties, so that entries do not all choose the same engine
	 * @return the placement
	 */
	public static EnginePlacement of(EngineProfile profile, RandomGenerator random) {
		return new EnginePlacement(profile, random);
	}

	/**
	 * Decides on one request.
	 * @param request the request
	 * @param candidates engines that may take it; not empty
	 * @return where it goes
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
