package org.wigeontally.weights;

/**
 * Decides when a host that has just started knows enough other hosts to fetch weights.
 *
 * <p>
 * The hosts share the chunks out among those that they know. After a loss of power all
 * hosts start at once and know nobody, so each would fetch every chunk from the origin,
 * whose link and connections they share. Waiting until the others are known costs less
 * than the copies that are fetched in vain.
 */
public final class PeerDiscovery {

	/**
	 * Longest wait for the other hosts. Some may be down although their engines are still
	 * registered.
	 */
	private static final long MAX_WAIT_MS = 700;

	private PeerDiscovery() {
	}

	/**
	 * Returns whether the fetch may start.
	 * @param knownHosts number of hosts known, including this one
	 * @param expectedHosts number of hosts with a registered engine; 0 if unknown
	 * @param waitedMs time since the first hosts could have become known
	 * @return true if all expected hosts are known or the wait has been too long
	 */
	public static boolean isComplete(int knownHosts, int expectedHosts, long waitedMs) {
		return waitedMs >= MAX_WAIT_MS || expectedHosts > 0 && knownHosts >= expectedHosts;
	}

}
