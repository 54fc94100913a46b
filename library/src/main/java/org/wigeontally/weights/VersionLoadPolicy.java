package org.wigeontally.weights;

import java.util.Collection;

/**
 * Decides when an engine loads a version that is staged.
 *
 * <p>
 * A version arrives at all hosts at about the same time. From the order to load it, an
 * engine takes no new requests until the running ones have ended and the weights are
 * loaded. If all engines loaded at once, none would serve requests. So only a fraction of
 * them loads at a time, in the order of their agents' addresses, until the deadline of
 * the version is near. An engine that holds no weights serves no requests and loads at
 * once.
 */
public final class VersionLoadPolicy {

	/** Fraction of the engines that may load at the same time. */
	private static final double MAX_LOADING_FRACTION = 0.5;

	private VersionLoadPolicy() {
	}

	/**
	 * Returns whether an engine may load the version now.
	 * @param address address of the engine's agent
	 * @param loadedVersion version that the engine has loaded; 0 for none
	 * @param waitingAgents agents whose engines have the version staged or are loading
	 * it, without those that have loaded it
	 * @param engineCount number of engines
	 * @param deadlineNear true if the deadline of the version is near
	 * @return true if the engine may load now
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
	 * Returns whether the newest version is expected to be complete before an older one
	 * has to be loaded, so that the older one can be skipped. The remaining time is
	 * extrapolated from the chunks fetched so far.
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
	 * @return true if the older version can be skipped
	 */
	public static boolean newerArrivesInTime(long remainingMs, int heldChunks, int totalChunks, long fetchingMs) {
		if (heldChunks <= 0) {
			return false;
		}
		double estimatedMs = (double) fetchingMs * (totalChunks - heldChunks) / heldChunks;
		return estimatedMs < remainingMs;
	}

}
