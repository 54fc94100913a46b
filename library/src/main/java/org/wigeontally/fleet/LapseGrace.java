package org.wigeontally.fleet;

/**
 * Period after an outage of the store in which removed registrations are kept, because
 * they may have lapsed only since they could not be renewed. Immutable.
 *
 * <p>
 * It ends a fixed time after the store answered again. An entry that read the store then
 * counts from the start of that call, and tells the others what is left. They count the
 * rest from when they asked for it, which is before it was told. So no delay on the way
 * and no pause of a process makes the period longer, however many entries pass it on.
 */
public final class LapseGrace {

	/**
	 * Time within which live backend servers renew their registrations after the store
	 * has returned.
	 */
	public static final long LENGTH_MS = 2_200;

	private static final LapseGrace NONE = new LapseGrace(Long.MAX_VALUE, Long.MIN_VALUE / 2);

	// Later answers of the store are from after its return.
	private final long lostAtMs;

	private final long endsAtMs;

	private LapseGrace(long lostAtMs, long endsAtMs) {
		this.lostAtMs = lostAtMs;
		this.endsAtMs = endsAtMs;
	}

	/**
	 * Returns a period that is over.
	 * @return the period
	 */
	public static LapseGrace none() {
		return NONE;
	}

	/**
	 * Returns the period after the store answered this entry again.
	 * @param lostAtMs start of the last call that failed
	 * @param askedAtMs start of the call that succeeded
	 * @return the period; the present one if it ends later
	 */
	public LapseGrace storeReturned(long lostAtMs, long askedAtMs) {
		return laterOf(new LapseGrace(lostAtMs, askedAtMs + LENGTH_MS));
	}

	/**
	 * Returns the period with what another entry told of its own.
	 * @param restMs what was left when it replied
	 * @param askedAtMs when this entry asked it
	 * @param knowledge what this entry knows of the store
	 * @param nowMs current time in milliseconds
	 * @return the period; the present one if it ends later, or if this entry knows that
	 * the store was not away
	 */
	public LapseGrace told(long restMs, long askedAtMs, StoreKnowledge knowledge, long nowMs) {
		if (restMs <= 0) {
			return this;
		}
		long endsAtMs = askedAtMs + Math.min(restMs, LENGTH_MS);
		if (knowledge.isGapless(endsAtMs - LENGTH_MS - StoreKnowledge.MIN_OUTAGE_MS, nowMs)) {
			return this;
		}
		return laterOf(new LapseGrace(Long.MAX_VALUE, endsAtMs));
	}

	/**
	 * Returns the period with the knowledge that the store answered some entry.
	 * @param asOfMs a time at which, or after which, it answered
	 * @return the period; shorter if it answered that entry before this one
	 */
	public LapseGrace storeAnswered(long asOfMs) {
		if (asOfMs <= this.lostAtMs || asOfMs + LENGTH_MS >= this.endsAtMs) {
			return this;
		}
		return new LapseGrace(this.lostAtMs, asOfMs + LENGTH_MS);
	}

	private LapseGrace laterOf(LapseGrace other) {
		return (other.endsAtMs > this.endsAtMs) ? other : this;
	}

	/**
	 * Returns whether removals take effect.
	 * @param nowMs current time in milliseconds
	 * @return true if the period is over
	 */
	public boolean isOver(long nowMs) {
		return nowMs >= this.endsAtMs;
	}

	/**
	 * Returns what is left of the period.
	 * @param nowMs current time in milliseconds
	 * @return milliseconds; 0 if it is over
	 */
	public long restMs(long nowMs) {
		return Math.max(0, this.endsAtMs - nowMs);
	}

}
