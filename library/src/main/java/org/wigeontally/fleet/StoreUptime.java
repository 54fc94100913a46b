package org.wigeontally.fleet;

/**
 * The newest period in which the store was up, as far as its answers to this entry and to
 * others show. An outage that is too short for registrations to lapse does not end it.
 * Immutable.
 *
 * <p>
 * An entry that was cut off, or that the store rejected, cannot tell from its own calls
 * whether the store was away for all. The others can: if one of them was answered all the
 * time, backend servers could renew their registrations, and those that were removed have
 * left.
 *
 * <p>
 * An answer shows that the store was up at some time between the start of the call and
 * its arrival. The period therefore begins with an arrival and, unless the answer came
 * promptly, ends with the start of a call. What another entry tells begins no earlier
 * here than there, and ends no later, so that entries cannot make a period longer by
 * passing it on.
 */
public final class StoreUptime {

	/**
	 * Shortest outage in which registrations lapse. They do so after three heartbeats of
	 * 1.2 s, and the last one may be nearly as old.
	 */
	public static final long LAPSE_MS = 2_300;

	/**
	 * Longest way of an answer that does not look late, also of a slow store. A later one
	 * may have been given any time since the start of its call.
	 */
	private static final long MAX_DELIVERY_MS = 400;

	private static final long NEVER_MS = Long.MIN_VALUE / 2;

	private static final StoreUptime UNKNOWN = new StoreUptime(NEVER_MS, NEVER_MS);

	private final long sinceMs;

	private final long lastMs;

	private StoreUptime(long sinceMs, long lastMs) {
		this.sinceMs = sinceMs;
		this.lastMs = lastMs;
	}

	/**
	 * Returns the period of a process that has heard of no answer.
	 * @return the period
	 */
	public static StoreUptime unknown() {
		return UNKNOWN;
	}

	/**
	 * Returns the period after the store answered a call.
	 * @param calledAtMs start of the call
	 * @param waitMs time for which the store may wait before it answers
	 * @param arrivedAtMs when the answer arrived
	 * @return the period
	 */
	public StoreUptime answered(long calledAtMs, long waitMs, long arrivedAtMs) {
		boolean prompt = arrivedAtMs - calledAtMs <= waitMs + MAX_DELIVERY_MS;
		long answeredAtMs = prompt ? Math.max(calledAtMs, arrivedAtMs - MAX_DELIVERY_MS) : calledAtMs;
		return and(new StoreUptime(arrivedAtMs, answeredAtMs));
	}

	/**
	 * Returns the period with what another entry knows.
	 * @param durationMs time since the begin of the period that it knows
	 * @param ageMs age of the newest answer that it knows
	 * @param askedAtMs when this entry asked it
	 * @param nowMs when its reply arrived
	 * @return the period
	 */
	public StoreUptime told(long durationMs, long ageMs, long askedAtMs, long nowMs) {
		if (ageMs >= StoreKnowledge.UNKNOWN_AGE_MS) {
			return this;
		}
		return and(new StoreUptime(nowMs - durationMs, askedAtMs - ageMs));
	}

	/**
	 * Returns the period with the age of what another entry supplied, which does not tell
	 * when its call to the store was answered.
	 * @param asOfMs start of the call
	 * @param nowMs current time in milliseconds
	 * @return the period; the present one if the call is as long ago as an outage takes
	 */
	public StoreUptime suppliedAsOf(long asOfMs, long nowMs) {
		if (asOfMs <= this.lastMs || nowMs - asOfMs >= LAPSE_MS) {
			return this;
		}
		boolean outage = asOfMs - this.lastMs >= LAPSE_MS;
		return new StoreUptime(outage ? nowMs : this.sinceMs, asOfMs);
	}

	private StoreUptime and(StoreUptime other) {
		StoreUptime earlier = (this.lastMs <= other.lastMs) ? this : other;
		StoreUptime later = (earlier == this) ? other : this;
		if (later.sinceMs - earlier.lastMs >= LAPSE_MS) {
			return later;
		}
		return new StoreUptime(Math.min(this.sinceMs, other.sinceMs), later.lastMs);
	}

	/**
	 * Returns whether an outage lies between an earlier period and this one.
	 * @param earlier what was known before
	 * @return true if registrations may have lapsed in it
	 */
	public boolean isAfterOutage(StoreUptime earlier) {
		return earlier.isKnown() && this.sinceMs > earlier.sinceMs;
	}

	/**
	 * Returns when the period began.
	 * @return a time at or after the begin
	 */
	public long sinceMs() {
		return this.sinceMs;
	}

	/**
	 * Returns when the store was last up.
	 * @return a time at or before the newest answer
	 */
	public long lastMs() {
		return this.lastMs;
	}

	/**
	 * Returns how long the period has lasted, for other entries.
	 * @param nowMs current time in milliseconds
	 * @return milliseconds; 0 only if nothing is known
	 */
	public long durationMs(long nowMs) {
		return isKnown() ? Math.max(1, nowMs - this.sinceMs) : 0;
	}

	/**
	 * Returns whether any answer is known.
	 * @return true if one is
	 */
	public boolean isKnown() {
		return this.lastMs != NEVER_MS;
	}

}
