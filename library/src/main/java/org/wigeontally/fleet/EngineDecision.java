package org.wigeontally.fleet;

/**
 * Where a request for an engine goes.
 */
public sealed interface EngineDecision {

	/**
	 * The request is sent.
	 *
	 * @param id id of the backend server
	 * @param rank rank at the engine, 0 to 9, 0 first
	 * @param firstEventMs predicted time to the first event
	 */
	record Place(String id, int rank, double firstEventMs) implements EngineDecision {

	}

	/**
	 * The request is turned away: no engine can serve it in the time that it has, or so
	 * much late work waits already that more of it would only be held in vain.
	 *
	 * @param comeBackMs time after which room is expected
	 */
	record TurnAway(double comeBackMs) implements EngineDecision {

	}

}
