package org.wigeontally.fleet;

import java.util.List;
import java.util.random.RandomGenerator;

/**
 * Places requests on backend servers without engines: the one with the fewest requests
 * for its slots, near ones and those that answer well first. The load pattern: short
 * requests, far below what the service carries, beside backend servers that fail or
 * answer slowly while their health looks good.
 */
public final class LeastLoadedPlacement {

	/** Requests that a backend server in another zone or region must have fewer. */
	private static final double[] DISTANCE_COST = { 0, 0.3, 0.6 };

	/** Requests by which a backend server that fails everything seems more loaded. */
	private static final double FAILURE_COST = 12;

	private final RandomGenerator random;

	private LeastLoadedPlacement(RandomGenerator random) {
		this.random = random;
	}

	/**
	 * Creates the placement.
	 * @param random breaks ties
	 * @return the placement
	 */
	public static LeastLoadedPlacement create(RandomGenerator random) {
		return new LeastLoadedPlacement(random);
	}

	/**
	 * Chooses a backend server.
	 * @param candidates those that may take the request; not empty
	 * @return id of the choice
	 */
	public String chooseBackend(List<BackendCandidate> candidates) {
		BackendCandidate best = null;
		double bestCost = Double.MAX_VALUE;
		for (BackendCandidate candidate : candidates) {
			double cost = candidate.load() * candidate.slowdownFactor() + DISTANCE_COST[candidate.distance()]
					+ candidate.failureRate() * FAILURE_COST + this.random.nextDouble() * 0.2;
			if (cost < bestCost) {
				best = candidate;
				bestCost = cost;
			}
		}
		return best.id();
	}

}
