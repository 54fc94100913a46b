package org.wigeontally.queueing;

/**
 * The properties of a request that its waiting depends on. Immutable.
 *
 * @param organisation organisation that sent it
 * @param rank its rank, 0 is the most urgent
 * @param engineSet requests with equal values can use the same engines, so if one finds
 * no slot, no less urgent one does
 * @param receivedAtMs when this entry received it, in milliseconds
 * @param targetMs target of its route for the first event
 * @param latestPlacementMs time until which it has to be sent to meet its target
 */
public record WaitingRequest(String organisation, int rank, Object engineSet, long receivedAtMs, long targetMs,
		long latestPlacementMs) {

	/**
	 * Fraction of the target for which a caller can be held without harm although its
	 * request is refused in the end; after that it loses more the longer it is held.
	 */
	private static final double HARMLESS_FRACTION = 0.125;

	/**
	 * Time between the predicted first event and the target that a placement needs; the
	 * same as placement itself keeps for the network and other entries.
	 */
	private static final double ON_TIME_MARGIN_MS = 40;

	/**
	 * Creates a request.
	 * @param organisation organisation that sent it
	 * @param rank its rank, 0 is the most urgent
	 * @param engineSet equal for requests that can use the same engines
	 * @param receivedAtMs when this entry received it
	 * @param targetMs target of its route for the first event
	 * @param targetAtMs when the target is missed
	 * @param firstEventMs predicted time from its sending to its first event
	 * @return the request
	 */
	public static WaitingRequest of(String organisation, int rank, Object engineSet, long receivedAtMs, long targetMs,
			long targetAtMs, double firstEventMs) {
		long latestMs = targetAtMs - (long) Math.ceil(firstEventMs + ON_TIME_MARGIN_MS);
		return new WaitingRequest(organisation, rank, engineSet, receivedAtMs, targetMs, latestMs);
	}

	/**
	 * Returns until when a refusal does the caller no harm.
	 * @return milliseconds
	 */
	long harmlessUntilMs() {
		return this.receivedAtMs + (long) (this.targetMs * HARMLESS_FRACTION);
	}

}
