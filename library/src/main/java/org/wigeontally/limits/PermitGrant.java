package org.wigeontally.limits;

/**
 * Answer to a request for permits. Immutable.
 *
 * @param granted number of requests that may be sent
 * @param nextInMs time until the next permit can be granted, milliseconds
 */
public record PermitGrant(int granted, long nextInMs) {

	/**
	 * Time for which an entry does not ask again that takes another one for the
	 * coordinator than that one does. The two agree once they hear the same entries.
	 */
	private static final long NOT_COORDINATOR_HOLD_MS = 200;

	/** Answer of an entry that does not coordinate the backend server. */
	public static final PermitGrant NOT_COORDINATOR = new PermitGrant(0, NOT_COORDINATOR_HOLD_MS);

}
