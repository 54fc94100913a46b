package org.wigeontally.weights;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Decides when an engine loads a version whose chunks are all held.
 *
 * <p>
 * From the order to load, an engine takes no new requests until the running ones have
 * ended and the weights are loaded. If all engines loaded at once, none would serve
 * requests. So they load in turns, until the load deadline of the version: from then on
 * an engine with an older version is of no use, and all load at once.
 *
 * <p>
 * Engines hold the chunks at different times, and each loads as soon as it does, if there
 * is room. What counts against the room are the engines that take no requests now, and
 * the waiting ones that come before it in the order of their agents' addresses. Counting
 * only the latter is not enough: each engine whose address is lower than all before it
 * would find itself first, and all would load together. Room is limited in each region
 * too, because some requests may be served in one region only, and addresses of one
 * region tend to be neighbours. An engine that holds no weights serves no requests and
 * loads at once.
 */
public final class VersionLoadPolicy {

	/**
	 * Usual time from the notice of a load until the engine takes requests again. Running
	 * requests end first.
	 */
	private static final long LOAD_DURATION_MS = 2_500;

	/** Fewest turns, also if the last of them ends after the deadline. */
	private static final int MIN_TURNS = 2;

	/** More turns hardly leave more engines in service. */
	private static final int MAX_TURNS = 4;

	/** Usual time until a report has reached all entries, also in other regions. */
	private static final long REPORT_SPREAD_MS = 100;

	/** Weight of an earlier fetch relative to all chunks of the present one. */
	private static final double USUAL_FETCH_WEIGHT = 0.5;

	private VersionLoadPolicy() {
	}

	/**
	 * Returns whether an engine that waits to load a version may load it now.
	 * @param own the engine
	 * @param loadedVersion version that the engine has loaded; 0 for none
	 * @param others the other engines
	 * @param remainingMs time until the load deadline; not positive if it has passed
	 * @return true if the engine may load now
	 */
	public static boolean mayLoad(EngineLoadState own, long loadedVersion, Collection<EngineLoadState> others,
			long remainingMs) {
		if (loadedVersion == 0 || remainingMs <= 0) {
			return true;
		}
		Map<String, Integer> freeByRegion = new HashMap<>();
		countByRegion(own, others)
			.forEach((region, engines) -> freeByRegion.put(region, maxLoading(engines, remainingMs)));
		int free = maxLoading(others.size() + 1, remainingMs);
		List<EngineLoadState> waiting = new ArrayList<>(List.of(own));
		for (EngineLoadState other : others) {
			if (other.loading()) {
				freeByRegion.merge(other.region(), -1, Integer::sum);
				free--;
			}
			else if (other.waiting()) {
				waiting.add(other);
			}
		}
		waiting.sort(Comparator.comparing(EngineLoadState::agent));
		for (EngineLoadState next : waiting) {
			if (free <= 0) {
				return false;
			}
			boolean fits = freeByRegion.get(next.region()) > 0;
			if (next.equals(own)) {
				return fits;
			}
			if (fits) {
				freeByRegion.merge(next.region(), -1, Integer::sum);
				free--;
			}
		}
		return false;
	}

	/**
	 * Returns whether what an agent knows of the others is recent enough for its turn.
	 * Engines that come to hold a version at about the same time know of each other only
	 * after their reports have reached the entry that tells them.
	 * @param sinceReportMs time since the agent first reported that it holds the version
	 * @param viewAgeMs time since an entry told the agent of the others
	 * @return false if it has to ask again before its engine loads
	 */
	public static boolean isViewCurrent(long sinceReportMs, long viewAgeMs) {
		return sinceReportMs >= REPORT_SPREAD_MS && viewAgeMs <= REPORT_SPREAD_MS;
	}

	private static Map<String, Integer> countByRegion(EngineLoadState own, Collection<EngineLoadState> others) {
		Map<String, Integer> counts = new HashMap<>(Map.of(own.region(), 1));
		others.forEach((other) -> counts.merge(other.region(), 1, Integer::sum));
		return counts;
	}

	/**
	 * Returns how many of some engines may load at the same time before the load
	 * deadline.
	 * @param engines number of engines
	 * @param remainingMs time until the load deadline
	 * @return the number, at least 1
	 */
	public static int maxLoading(int engines, long remainingMs) {
		long turns = Math.max(MIN_TURNS, Math.min(MAX_TURNS, 1 + remainingMs / LOAD_DURATION_MS));
		return (int) Math.max(1, (engines + turns - 1) / turns);
	}

	/**
	 * Returns whether the newest version is expected to be complete before an older one
	 * has to be loaded, so that the older one can be skipped. The remaining time is
	 * extrapolated from the chunks fetched so far, or from the duration of an earlier
	 * fetch if that is sooner: the first chunks come slowly, and none are held when the
	 * older version becomes complete just as the newest is announced.
	 *
	 * <p>
	 * Versions are announced some seconds apart, so an older one is complete while the
	 * newest is still being fetched. Loading both takes every engine out of service
	 * twice. Loading only the newest leaves no engine that may serve requests if it
	 * arrives after the deadline of the older one.
	 * @param remainingMs time until the older version has to be loaded
	 * @param heldChunks number of chunks of the newest version that are held
	 * @param totalChunks number of chunks of the newest version
	 * @param fetchingMs time since the fetch of the newest version started
	 * @param usualFetchMs duration of the last fetch of a version; 0 if unknown
	 * @return true if the older version can be skipped
	 */
	public static boolean newerArrivesInTime(long remainingMs, int heldChunks, int totalChunks, long fetchingMs,
			long usualFetchMs) {
		double held = (double) heldChunks / totalChunks;
		double extrapolatedMs = (heldChunks > 0) ? fetchingMs * (1 - held) / held : Double.POSITIVE_INFINITY;
		// A fetch that falls behind the usual one counts more the longer it lasts.
		double expectedMs = (usualFetchMs > 0)
				? (fetchingMs + usualFetchMs * USUAL_FETCH_WEIGHT) / (held + USUAL_FETCH_WEIGHT) * (1 - held)
				: Double.POSITIVE_INFINITY;
		return Math.min(extrapolatedMs, expectedMs) < remainingMs;
	}

}
