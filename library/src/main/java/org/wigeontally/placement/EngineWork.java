package org.wigeontally.placement;

/**
 * What an entry knows of the outstanding work of an engine, beside the number of its
 * requests. Immutable.
 *
 * @param ownRequests requests of this entry that run or wait there
 * @param ownUnreadTokens prompt tokens of those without a first event
 * @param ownRemainingTokens expected tokens that their answers still need
 * @param ownContextTokens expected tokens of their prompts and complete answers
 * @param reportAgeMs age of the newest report of the engine's load
 */
public record EngineWork(int ownRequests, double ownUnreadTokens, double ownRemainingTokens, double ownContextTokens,
		long reportAgeMs) {

	/** Work of an engine of which only the number of requests is known. */
	public static final EngineWork UNKNOWN = new EngineWork(0, 0, 0, 0, 0);

}
