package org.wigeontally.placement;

import java.util.List;

/** Decides where requests for the engines of one service are sent. */
public interface PlacementStrategy {

	/**
	 * Decides on one request.
	 * @param request the request
	 * @param candidates engines that can take the request; not empty
	 * @return the decision
	 */
	PlacementDecision decide(EngineRequest request, List<BackendCandidate> candidates);

}
