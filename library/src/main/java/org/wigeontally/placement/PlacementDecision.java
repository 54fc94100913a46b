package org.wigeontally.placement;

/** The decision on where to send a request for an engine. */
public sealed interface PlacementDecision {

	/**
	 * The request is sent to an engine.
	 *
	 * @param id id of the backend server
	 * @param enginePriority priority in the queue of the engine, 0 (highest) to 9
	 * @param firstEventMs predicted time to the first event
	 */
	record Place(String id, int enginePriority, double firstEventMs) implements PlacementDecision {

	}

	/**
	 * The request is rejected because all slots are occupied, or because the free slots
	 * are reserved for requests that can still meet their target.
	 *
	 * @param retryAfterMs time after which a slot is expected to be free
	 * @param engineLoad number of requests at the engine with the lowest cost
	 * @param firstEventMs predicted time to the first event at that engine
	 */
	record Reject(double retryAfterMs, int engineLoad, double firstEventMs) implements PlacementDecision {

	}

}
