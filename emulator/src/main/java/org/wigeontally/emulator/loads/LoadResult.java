package org.wigeontally.emulator.loads;

/**
 * What happened while engines loaded the announced versions. Immutable.
 *
 * @param largestShareOut largest fraction of the engines that took no requests at a time
 * because of a load that no deadline forced
 * @param missingCapacityMs time weighted with the square of the fraction of a region's
 * engines that were not in service, mean of the regions
 * @param regionWithoutEngineMs time without any engine in service in a region, all
 * regions together
 * @param firstLoadDelayMs time from the first engine that holds the first announced
 * version to the first load
 * @param longestIdleMs longest time for which an engine that held a newer version neither
 * loaded it nor could take requests with the one loaded
 */
public record LoadResult(double largestShareOut, double missingCapacityMs, long regionWithoutEngineMs,
		long firstLoadDelayMs, long longestIdleMs) {

}
