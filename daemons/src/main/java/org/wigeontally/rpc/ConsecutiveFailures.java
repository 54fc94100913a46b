package org.wigeontally.rpc;

import java.util.HashMap;
import java.util.Map;

import org.wigeontally.schema.generated.Address;

/**
 * Counts the consecutive failed calls to each peer. Not thread-safe.
 */
public final class ConsecutiveFailures {

	private final int limit;

	private final Map<Address, Integer> counts = new HashMap<>();

	private ConsecutiveFailures(int limit) {
		this.limit = limit;
	}

	/**
	 * Creates a counter.
	 * @param limit consecutive failures after which a connection is to be closed
	 * @return the counter
	 */
	public static ConsecutiveFailures create(int limit) {
		return new ConsecutiveFailures(limit);
	}

	/**
	 * Counts a failed call.
	 * @param peer the peer
	 * @return true if the limit is reached and the connection is to be closed; the count
	 * is then reset
	 */
	public boolean recordFailure(Address peer) {
		if (this.counts.merge(peer, 1, Integer::sum) < this.limit) {
			return false;
		}
		this.counts.remove(peer);
		return true;
	}

	/**
	 * Resets the count after a successful call.
	 * @param peer the peer
	 */
	public void recordSuccess(Address peer) {
		this.counts.remove(peer);
	}

}
