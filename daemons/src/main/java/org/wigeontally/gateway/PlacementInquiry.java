package org.wigeontally.gateway;

import java.util.Set;

/**
 * A request that is to be sent to a backend server, as its placement sees it. Called on
 * the event loop.
 */
interface PlacementInquiry {

	CallerRequest request();

	/**
	 * Returns the ids of backend servers that were tried before.
	 * @return the ids
	 */
	Set<String> triedBackendIds();

	/**
	 * Returns the time left to meet the target of the request.
	 * @return milliseconds; negative if it is missed
	 */
	long targetLeftMs();

	/**
	 * Returns the time left until the deadline of the request.
	 * @return milliseconds
	 */
	long deadlineLeftMs();

	/**
	 * Returns whether the request may wait for a slot.
	 * @return false if it was sent before, or its stream has begun
	 */
	boolean mayWait();

	/**
	 * Called when a slot may be free for the request that waits. It asks for its
	 * placement again, or ends. Throws nothing.
	 */
	void placeAgain();

	/**
	 * Called when the request waits no longer, because no slot is expected in time.
	 * Throws nothing.
	 * @param refusal why it is not placed, and when its caller returns
	 */
	void waitFailed(Placement.NotPlaced refusal);

}
