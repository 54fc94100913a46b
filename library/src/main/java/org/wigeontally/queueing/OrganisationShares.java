package org.wigeontally.queueing;

import java.util.HashMap;
import java.util.Map;

/**
 * Slots that organisations lately got by waiting, so that those with many requests are
 * served after the others. Used by one thread.
 */
final class OrganisationShares {

	/**
	 * Time in which a slot is forgotten by a factor of e. An entry fills about ten slots
	 * in it, enough for each organisation that waits to have its turn.
	 */
	private static final double MEMORY_MS = 1_000;

	/** Slots below which an organisation counts as if it had none. */
	private static final double FORGOTTEN_SLOTS = 0.05;

	private final Map<String, Share> shares = new HashMap<>();

	double slots(String organisation, long nowMs) {
		Share share = this.shares.get(organisation);
		return (share != null) ? share.slots(nowMs) : 0;
	}

	void recordSlot(String organisation, long nowMs) {
		this.shares.values().removeIf((share) -> share.slots(nowMs) < FORGOTTEN_SLOTS);
		this.shares.put(organisation, new Share(slots(organisation, nowMs) + 1, nowMs));
	}

	private record Share(double slotsThen, long atMs) {

		private double slots(long nowMs) {
			return this.slotsThen * Math.exp((this.atMs - nowMs) / MEMORY_MS);
		}

	}

}
