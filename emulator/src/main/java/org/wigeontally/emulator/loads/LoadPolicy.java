package org.wigeontally.emulator.loads;

import java.util.List;

import org.wigeontally.weights.EngineLoadState;

/**
 * Decides when engines load a version.
 */
interface LoadPolicy {

	/**
	 * Returns whether an engine may load.
	 * @param own the engine
	 * @param others the other engines, as its agent knows them
	 * @param remainingMs time until the loaded version is of no use
	 * @param versionRemainingMs time until the load deadline of the version to load
	 * @return true if it may load now
	 */
	boolean mayLoad(EngineLoadState own, List<EngineLoadState> others, long remainingMs, long versionRemainingMs);

	/**
	 * Returns whether the agent knows enough of the others.
	 * @param sinceReportMs time since the agent reported that it holds the version
	 * @param viewAgeMs time since it was told of the others
	 * @return false if it asks again first
	 */
	boolean isViewCurrent(long sinceReportMs, long viewAgeMs);

	/**
	 * Returns whether agents report at once when they hold or have loaded another
	 * version.
	 * @return true if they do
	 */
	boolean reportsChanges();

}
