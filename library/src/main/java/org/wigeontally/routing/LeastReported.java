package org.wigeontally.routing;

import java.util.List;
import java.util.Optional;

/**
 * Chooses the backend server with the lowest reported load relative to its limit. Serves
 * as a baseline for measurements: entries that share a stale report all choose the same
 * backend server.
 */
public final class LeastReported implements BackendChooser {

	private LeastReported() {
	}

	/**
	 * Creates a chooser.
	 * @return the chooser
	 */
	public static LeastReported create() {
		return new LeastReported();
	}

	@Override
	public Optional<Candidate> choose(RoutingRequest request, List<Candidate> candidates) {
		Candidate best = null;
		for (Candidate candidate : candidates) {
			if (candidate.canServe(request) && (best == null || load(candidate) < load(best))) {
				best = candidate;
			}
		}
		return Optional.ofNullable(best);
	}

	private static double load(Candidate candidate) {
		return (double) candidate.reportedInFlight() / candidate.limit();
	}

}
