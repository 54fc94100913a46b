package org.wigeontally.admission;

/**
 * What a backend server says of itself. Immutable.
 *
 * @param running requests that it runs
 * @param cold what it says of a cold start
 * @param asOfMs instant on the agent's monotonic clock at which this was true at the
 * earliest: the time of asking less the longest lag
 */
public record EngineReport(int running, WarmupState warmupState, long asOfMs) {

	/**
	 * A backend server's word on its cold start.
	 */
	public enum WarmupState {

		/** It says that it is in cold start. */
		COLD,
		/** It says that it is warm. */
		WARM,
		/** It does not say. */
		UNKNOWN

	}

}
