package org.wigeontally.weights;

/**
 * Limits the connections that a host opens to the origin at the same time.
 *
 * <p>
 * A host that loses power or its network does not close its connections, and the origin
 * may count them against its limit until it is restarted. If all hosts together used all
 * connections, one loss of power during a fetch would leave none for the fetch that
 * follows it. So all hosts together open only a fraction of them, which leaves the rest
 * for the fetches after further losses. Few connections are enough to use the origin's
 * link, since the hosts fetch different chunks. In large fleets only the hosts that lead
 * stripes fetch from the origin, so each of them may open a few.
 */
public final class OriginConnectionLimit {

	/** Losses of power, each during a fetch, after which connections are left. */
	private static final int TOLERATED_LOSSES = 3;

	/** A host that leads several stripes is slow with one connection. */
	private static final int MIN_PER_HOST = 2;

	/** More connections of one host than stripes are never used. */
	private static final int MAX_PER_HOST = FetchAssignment.STRIPES;

	private OriginConnectionLimit() {
	}

	/**
	 * Returns the number of connections that a host may open.
	 * @param originConnections connections that the origin accepts from all hosts
	 * @param hosts number of hosts that may fetch, including this one
	 * @return number of connections
	 */
	public static int perHost(int originConnections, int hosts) {
		int share = originConnections / (TOLERATED_LOSSES + 1) / Math.max(1, hosts);
		return Math.max(MIN_PER_HOST, Math.min(MAX_PER_HOST, share));
	}

}
