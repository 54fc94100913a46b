package org.wigeontally.placement;

import java.util.List;

/**
 * Spreads the requests of one entry evenly over engines of whose load nothing is known.
 *
 * <p>
 * It answers entries that see idle engines at the same moment, as after a start of all of
 * them, and together receive a request for each slot. Independent draws send up to twice
 * the mean to one engine, beyond its slots and its queue. An entry does not know the
 * others' choices, but if each has the same number of requests at all engines, or one
 * more, nine entries exceed the mean of an engine by a few requests only.
 */
final class UnreportedSpread {

	/**
	 * Weight of an engine for each request of this entry that it has more than the engine
	 * with the fewest. With 0.1, one of 250 such herds sends requests beyond a queue,
	 * with 0.05 none of 2,000 did.
	 */
	private static final double EXCESS_WEIGHT = 0.05;

	private UnreportedSpread() {
	}

	/**
	 * Returns the factor of a candidate's weight. Engines at other distances have weights
	 * of their own and are not compared.
	 * @param candidate the candidate
	 * @param candidates all candidates
	 * @return 1, or less if the entry has fewer requests at another engine
	 */
	static double weight(BackendCandidate candidate, List<BackendCandidate> candidates) {
		int own = candidate.blindRequests();
		int fewest = own;
		for (BackendCandidate other : candidates) {
			boolean comparable = other.blindRequests() >= 0 && other.distance() == candidate.distance();
			fewest = comparable ? Math.min(fewest, other.blindRequests()) : fewest;
		}
		return (own <= 0) ? 1 : Math.pow(EXCESS_WEIGHT, own - fewest);
	}

}
