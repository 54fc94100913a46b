package org.wigeontally.routing;

import java.util.List;
import java.util.Optional;

/**
 * Chooses backend servers in round-robin order regardless of their load. Serves as a
 * baseline for measurements.
 */
public final class RoundRobin implements BackendChooser {

	private int nextIndex;

	private RoundRobin(int firstIndex) {
		this.nextIndex = firstIndex;
	}

	/**
	 * Creates a chooser.
	 * @param firstIndex index of the first choice; different values prevent entries from
	 * starting at the same backend server
	 * @return the chooser
	 */
	public static RoundRobin create(int firstIndex) {
		return new RoundRobin(firstIndex);
	}

	@Override
	public Optional<Candidate> choose(RoutingRequest request, List<Candidate> candidates) {
		for (int i = 0; i < candidates.size(); i++) {
			Candidate candidate = candidates.get(Math.floorMod(this.nextIndex + i, candidates.size()));
			if (candidate.canServe(request)) {
				this.nextIndex += i + 1;
				return Optional.of(candidate);
			}
		}
		return Optional.empty();
	}

}
