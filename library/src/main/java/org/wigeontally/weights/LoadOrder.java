package org.wigeontally.weights;

import org.wigeontally.misc.Moment;

/**
 * An order to load a version, which an engine accepts only while it has begun a given
 * number of orders.
 *
 * @param version the version
 * @param weights the chunks of the version
 * @param startedOrders number of orders that the engine has begun before this one
 * @param checkedAt when the last check of the staged chunks began
 */
public record LoadOrder(long version, VerifiedWeights weights, long startedOrders, Moment checkedAt) {

	/**
	 * Longest time between the check of a chunk and its use that needs no further check.
	 * A chunk may have been corrupt for 3 s when it is loaded.
	 */
	private static final long MAX_CHECK_AGE_MS = 2_000;

	/**
	 * Returns whether the check of the staged chunks still holds.
	 * @param now the current moment
	 * @return false if chunks may have been corrupt for too long by now
	 */
	public boolean isCheckRecent(Moment now) {
		return this.checkedAt.maxAgeMs(now) <= MAX_CHECK_AGE_MS;
	}

}
