package org.wigeontally.weights;

import java.util.Collection;

/**
 * Decides when an engine loads a version that is staged.
 *
 * <p>
 * The load pattern: a version arrives at all hosts at about the same time, and an engine
 * takes no requests from the order until what runs has ended and the weights are loaded.
 * If all engines did so at once, nobody would serve. So a part of them goes at a time, in
 * the order of their addresses, until the bound of the version presses. An engine that
 * holds no weights serves nobody and has nothing to wait for.
 */
public final class VersionLoadPolicy {

	/** Part of the engines that may load at the same time. */
	private static final double MAX_LOADING_FRACTION = 0.5;

	private VersionLoadPolicy() {
	}

	/**
	 * Decides for one engine.
	 * @param self address of its agent
	 * @param loadedVersion version that it holds; 0 for none
	 * @param before agents that have the version staged or are loading it, without those
	 * that hold it already
	 * @param engines number of engines
	 * @param pressing true if the bound of the version is near
	 * @return true if it may load now
	 */
	public static boolean mayLoad(String address, long loadedVersion, Collection<String> waitingAgents, int engineCount,
			boolean deadlineNear) {
		if (loadedVersion == 0 || deadlineNear) {
			return true;
		}
		long rank = waitingAgents.stream().filter((agent) -> agent.compareTo(address) < 0).count();
		return rank < Math.max(1, Math.round(engineCount * MAX_LOADING_FRACTION));
	}

	/**
	 * Tells whether a newer version will be whole while the older one may still wait.
	 *
	 * <p>
	 * The load pattern: versions are named some seconds apart, so that an older one is
	 * whole while the newest is on its way. Loading both takes every engine out of
	 * service twice; loading only the newest leaves nobody who may serve if it comes
	 * after the bound of the older one.
	 * @param leftMs time until the older version has to be loaded
	 * @param held pieces of the newest version that are held
	 * @param pieces pieces of the newest version
	 * @param collectingMs time for which it has been collected
	 * @return true if it is worth waiting for
	 */
	public static boolean newerArrivesInTime(long remainingMs, int heldChunks, int totalChunks, long fetchingMs) {
		if (heldChunks <= 0) {
			return false;
		}
		double estimatedMs = (double) fetchingMs * (totalChunks - heldChunks) / heldChunks;
		return estimatedMs < remainingMs;
	}

}
