package org.wigeontally.admission;

/**
 * Status that a backend server reports about itself. Immutable.
 *
 * @param running number of requests that the backend server is running
 * @param warmupState whether the backend server reports a cold start
 * @param asOfMs earliest time on the agent's monotonic clock for which the report can
 * hold: the time of the status query minus the maximum reporting lag
 */
public record EngineReport(int running, WarmupState warmupState, long asOfMs) {

	/**
	 * Cold start state that a backend server reports.
	 */
	public enum WarmupState {

		/** The backend server reports that it is in cold start. */
		COLD,
		/** The backend server reports that it is warm. */
		WARM,
		/** The backend server does not report its state. */
		UNKNOWN

	}

}
