package org.wigeontally.placement;

/**
 * The slots of each engine that are kept from the requests of a rank.
 *
 * @param slots number of slots
 * @param cause why they are kept, or why none are although engines are full
 */
public record Reservation(int slots, Cause cause) {

	/** Nothing is kept. */
	public static final Reservation NONE = new Reservation(0, Cause.NONE);

	/** Cause of a reservation. */
	public enum Cause {

		/** No more urgent request lacks a slot. */
		NONE,
		/** A more urgent request found no slot at this entry. */
		REFUSAL,
		/** The engines have more requests than slots. */
		FULL_ENGINES,
		/** The rank is served too seldom, so nothing is kept from it. */
		FLOOR;

		/**
		 * Returns the name of the cause in logs and metrics.
		 * @return the name
		 */
		public String label() {
			return name().toLowerCase().replace('_', '-');
		}

	}

}
