package org.wigeontally.fleet;

/**
 * The times as of which this entry knows all records of a topic, from its own calls or
 * from other entries. At each of them the store answered somebody. Immutable.
 */
public final class StoreKnowledge {

	/**
	 * Time for which registrations hold without the store, at least. They lapse after
	 * three heartbeats of 1.2 s, and the last one may be nearly as old.
	 */
	static final long MIN_OUTAGE_MS = 2_000;

	/** Age that is told as long as nothing is known, in milliseconds. */
	static final long UNKNOWN_AGE_MS = 24 * 60 * 60 * 1_000L;

	private static final long NEVER_MS = Long.MIN_VALUE / 2;

	private final long gaplessSinceMs;

	private final long asOfMs;

	// Unlike the time above, not the start of the process.
	private final long answeredAtMs;

	private StoreKnowledge(long gaplessSinceMs, long asOfMs, long answeredAtMs) {
		this.gaplessSinceMs = gaplessSinceMs;
		this.asOfMs = asOfMs;
		this.answeredAtMs = answeredAtMs;
	}

	/**
	 * Returns the knowledge of a process that starts.
	 * @param nowMs current time in milliseconds
	 * @return the knowledge
	 */
	public static StoreKnowledge startedAt(long nowMs) {
		return new StoreKnowledge(nowMs, nowMs, NEVER_MS);
	}

	/**
	 * Returns the knowledge after all records became known as of a time.
	 * @param newAsOfMs the time
	 * @return the knowledge; the present one if it is newer
	 */
	public StoreKnowledge knownAsOf(long newAsOfMs) {
		if (newAsOfMs <= this.answeredAtMs) {
			return this;
		}
		boolean gap = newAsOfMs - this.asOfMs >= MIN_OUTAGE_MS;
		return new StoreKnowledge(gap ? newAsOfMs : this.gaplessSinceMs, Math.max(this.asOfMs, newAsOfMs), newAsOfMs);
	}

	/**
	 * Returns the newest time as of which all records are known.
	 * @return the time; the start of the process if there is none
	 */
	public long asOfMs() {
		return this.asOfMs;
	}

	/**
	 * Returns the age of the knowledge for other entries. A process that only started
	 * tells them nothing about the store.
	 * @param nowMs current time in milliseconds
	 * @return milliseconds; a day if there is no knowledge
	 */
	public long toldAgeMs(long nowMs) {
		return Math.min(UNKNOWN_AGE_MS, Math.max(0, nowMs - this.answeredAtMs));
	}

	/**
	 * Returns whether the store was not away for so long that registrations lapsed.
	 * @param fromMs time at which such an outage may have begun
	 * @param nowMs current time in milliseconds
	 * @return true if there was no such outage in between
	 */
	public boolean isGapless(long fromMs, long nowMs) {
		return this.gaplessSinceMs <= fromMs && nowMs - this.asOfMs < MIN_OUTAGE_MS;
	}

}
