package org.wigeontally.rpc;

import java.util.HashMap;
import java.util.Map;

import org.wigeontally.schema.generated.Address;

/**
 * Counts answers in a row that did not come, for each peer. Used by one thread.
 */
public final class ConsecutiveFailures {

	private final int limit;

	private final Map<Address, Integer> counts = new HashMap<>();

	private ConsecutiveFailures(int limit) {
		this.limit = limit;
	}

	/**
	 * Creates the counts.
	 * @param limit answers in a row after which a connection is given up
	 * @return the counts
	 */
	public static ConsecutiveFailures create(int limit) {
		return new ConsecutiveFailures(limit);
	}

	/**
	 * Counts an answer that did not come.
	 * @param peer the peer
	 * @return true if the connection is to be given up; the count starts anew then
	 */
	public boolean recordFailure(Address peer) {
		if (this.counts.merge(peer, 1, Integer::sum) < this.limit) {
			return false;
		}
		this.counts.remove(peer);
		return true;
	}

	/**
	 * Notes an answer.
	 * @param peer the peer
	 */
	public void recordSuccess(Address peer) {
		this.counts.remove(peer);
	}

}
