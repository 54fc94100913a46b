package org.wigeontally.fleet;

/**
 * The times as of which this entry knows all records of a topic, from its own calls or
 * from other entries. At each of them the store answered somebody. Immutable.
 */
public final class StoreKnowledge {

	/**
	 * Time for which registrations hold without the store. They lapse after three
	 * heartbeats of a second, and the last one may be nearly a second old.
	 */
	static final long MIN_OUTAGE_MS = 2_000;

	private final long gaplessSinceMs;

	private final long asOfMs;

	private StoreKnowledge(long gaplessSinceMs, long asOfMs) {
		this.gaplessSinceMs = gaplessSinceMs;
		this.asOfMs = asOfMs;
	}

	/**
	 * Returns the knowledge of a process that starts.
	 * @param nowMs current time in milliseconds
	 * @return the knowledge
	 */
	public static StoreKnowledge startedAt(long nowMs) {
		return new StoreKnowledge(nowMs, nowMs);
	}

	/**
	 * Returns the knowledge after all records became known as of a time.
	 * @param newAsOfMs the time
	 * @return the knowledge; the present one if it is newer
	 */
	public StoreKnowledge knownAsOf(long newAsOfMs) {
		if (newAsOfMs <= this.asOfMs) {
			return this;
		}
		boolean gap = newAsOfMs - this.asOfMs >= MIN_OUTAGE_MS;
		return new StoreKnowledge(gap ? newAsOfMs : this.gaplessSinceMs, newAsOfMs);
	}

	/**
	 * Returns the newest time as of which all records are known.
	 * @return the time; the start of the process if there is none
	 */
	public long asOfMs() {
		return this.asOfMs;
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
