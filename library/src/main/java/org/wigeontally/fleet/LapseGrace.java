package org.wigeontally.fleet;

/**
 * Period after an outage of the store in which removed registrations are kept, because
 * they may have lapsed only since they could not be renewed. Immutable.
 *
 * <p>
 * It ends a fixed time after the store answered again. An entry that read the store then
 * counts from the start of that call, unless the store held it for long, and tells the
 * others what is left. They count the rest from when they asked for it, which is before
 * it was told. So no delay on the way between entries makes the period longer, however
 * many pass it on.
 */
public final class LapseGrace {

	/**
	 * Time within which live backend servers renew their registrations after the store
	 * has returned.
	 */
	public static final long LENGTH_MS = 2_200;

	/**
	 * Time within which live backend servers write their next heartbeat, which is due
	 * about every 1.2 s.
	 */
	private static final long RENEWAL_MS = 1_500;

	private static final LapseGrace NONE = new LapseGrace(Long.MIN_VALUE / 2);

	private final long endsAtMs;

	private LapseGrace(long endsAtMs) {
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
	 * Returns the period after the store answered this entry again. A store that is away
	 * may hold a call and answer it when it returns, so live backend servers have time
	 * for a heartbeat after the answer in any case.
	 * @param askedAtMs start of the call that succeeded
	 * @param answeredAtMs when it succeeded
	 * @return the period; the present one if it ends later
	 */
	public LapseGrace storeReturned(long askedAtMs, long answeredAtMs) {
		return laterOf(new LapseGrace(Math.max(askedAtMs + LENGTH_MS, answeredAtMs + RENEWAL_MS)));
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
		return laterOf(new LapseGrace(endsAtMs));
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
