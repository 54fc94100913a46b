package org.wigeontally.fleet;

/**
 * Period after an outage of the store in which removed registrations are kept, because
 * they may have lapsed only since they could not be renewed. Immutable.
 *
 * <p>
 * It ends a fixed time after the store answered again. An entry that read the store then
 * tells the others what is left. They count the rest from when they asked for it, which
 * is before it was told. So no delay on the way and no pause of a process makes the
 * period longer, however many entries pass it on.
 *
 * <p>
 * An entry that was cut off alone has not seen an outage. The others tell it since when
 * the store is up; until one of them has, the period is shorter.
 *
 * <p>
 * A call that hangs in the outage is answered when the store returns, so the start of a
 * call does not show since when it was back, and the period must not count from there.
 */
public final class LapseGrace {

	/**
	 * Time within which live backend servers renew their registrations after the store
	 * has returned.
	 */
	public static final long LENGTH_MS = 2_200;

	/** Duration of the longest call to the store: a long poll and its timeout. */
	static final long MAX_CALL_MS = 2_200;

	/**
	 * Length as long as no other entry has told what it knows of the store. An entry that
	 * was cut off alone reaches the others about when it reaches the store.
	 */
	static final long UNCONFIRMED_LENGTH_MS = 1_000;

	private static final LapseGrace NONE = new LapseGrace(Long.MAX_VALUE, Long.MIN_VALUE / 2, true);

	// Later answers of the store are from after its return.
	private final long lostAtMs;

	private final long endsAtMs;

	private final boolean confirmed;

	private LapseGrace(long lostAtMs, long endsAtMs, boolean confirmed) {
		this.lostAtMs = lostAtMs;
		this.endsAtMs = endsAtMs;
		this.confirmed = confirmed;
	}

	/**
	 * Returns a period that is over.
	 * @return the period
	 */
	public static LapseGrace none() {
		return NONE;
	}

	/**
	 * Returns the period after the store answered again.
	 * @param lostAtMs start of the last call that failed
	 * @param answeredAtMs when its answer arrived
	 * @param confirmed false if it may have been away for this entry only
	 * @return the period; the present one if it ends later
	 */
	public LapseGrace storeReturned(long lostAtMs, long answeredAtMs, boolean confirmed) {
		return laterOf(new LapseGrace(lostAtMs, answeredAtMs + LENGTH_MS, confirmed));
	}

	/**
	 * Returns the period with the knowledge that the store is up for some entry.
	 * @param upSinceMs a time at which it was up after the outage
	 * @return the period; shorter if the store was up for that entry before it was for
	 * this one
	 */
	public LapseGrace storeUpSince(long upSinceMs) {
		return new LapseGrace(this.lostAtMs, Math.min(this.endsAtMs, upSinceMs + LENGTH_MS), true);
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
		return laterOf(new LapseGrace(Long.MAX_VALUE, endsAtMs, true));
	}

	/**
	 * Returns the period with the knowledge that the store answered some entry.
	 * @param asOfMs start of the call that it answered
	 * @return the period; shorter if it answered that entry long before this one
	 */
	public LapseGrace storeAnswered(long asOfMs) {
		long latestEndMs = asOfMs + MAX_CALL_MS + LENGTH_MS;
		if (asOfMs <= this.lostAtMs || latestEndMs >= this.endsAtMs) {
			return this;
		}
		return new LapseGrace(this.lostAtMs, latestEndMs, this.confirmed);
	}

	private LapseGrace laterOf(LapseGrace other) {
		return (other.effectiveEndMs() > effectiveEndMs()) ? other : this;
	}

	private long effectiveEndMs() {
		return this.confirmed ? this.endsAtMs : returnedAtMs() + UNCONFIRMED_LENGTH_MS;
	}

	/**
	 * Returns when the store answered again, as far as is known.
	 * @return the time; long ago if there was no outage
	 */
	long returnedAtMs() {
		return this.endsAtMs - LENGTH_MS;
	}

	/**
	 * Returns whether removals take effect.
	 * @param nowMs current time in milliseconds
	 * @return true if the period is over
	 */
	public boolean isOver(long nowMs) {
		return nowMs >= effectiveEndMs();
	}

	/**
	 * Returns what is left of the period.
	 * @param nowMs current time in milliseconds
	 * @return milliseconds; 0 if it is over
	 */
	public long restMs(long nowMs) {
		return Math.max(0, effectiveEndMs() - nowMs);
	}

}
