package org.wigeontally.queueing;

/**
 * Whether a request waits for a slot.
 *
 * @param untilMs time at which its wait ends unless it was placed; in the past for none
 * @param chance predicted chance that it is placed by then
 * @param reason why it waits or does not, for logs and metrics
 */
public record WaitDecision(long untilMs, double chance, Reason reason) {

	/**
	 * Returns whether the request waits.
	 * @return false if it is refused now
	 */
	public boolean isWait() {
		return this.reason == Reason.EXPECTED || this.reason == Reason.HARMLESS;
	}

	/** Reasons to wait or not. Their number is bounded, they are labels of metrics. */
	public enum Reason {

		/** A slot is expected while the target can still be met. */
		EXPECTED,

		/**
		 * A slot is possible within the time in which a refusal does no harm.
		 */
		HARMLESS,

		/** The target is missed anyway. */
		LATE,

		/** Too few slots are expected for the requests ahead and this one. */
		UNLIKELY,

		/** More urgent requests take all waiting places. */
		CROWDED;

		/**
		 * Returns the name of the reason in logs and metrics.
		 * @return the name
		 */
		public String label() {
			return name().toLowerCase();
		}

	}

}
