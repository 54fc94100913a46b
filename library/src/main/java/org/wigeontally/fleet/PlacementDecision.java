package org.wigeontally.fleet;

/**
 * Where a request for an engine goes.
 */
public sealed interface PlacementDecision {

	/**
	 * The request is sent.
	 *
	 * @param id id of the backend server
	 * @param rank rank at the engine, 0 to 9, 0 first
	 * @param firstEventMs predicted time to the first event
	 */
	record Place(String id, int enginePriority, double firstEventMs) implements PlacementDecision {

	}

	/**
	 * The request is turned away: all places are taken, or those that are left are kept
	 * for requests that can still be on time.
	 *
	 * @param comeBackMs time after which room is expected
	 * @param leastLoad requests at the engine that would have been chosen
	 * @param firstEventMs predicted time to the first event there
	 */
	record Reject(double retryAfterMs, int engineLoad, double firstEventMs) implements PlacementDecision {

	}

}
