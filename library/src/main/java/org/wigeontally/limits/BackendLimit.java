package org.wigeontally.limits;

/**
 * The rate of requests that one process of a backend server accepts from all entries
 * together, as far as this entry knows. Used by one thread.
 *
 * <p>
 * Each response names the limit or, by its absence, shows that there is none. Responses
 * overtake each other, and entries tell each other what they have heard. What holds is
 * the newest evidence. A response that names a limit is evidence of the time at which its
 * head arrived. A response without a limit proves only that there was none at some time
 * after its request was sent, so it counts as of that time: a stream that began before
 * the limit cannot lift it.
 */
public final class BackendLimit {

	/**
	 * Time by which the end of a limit counts as earlier if another entry calls to tell
	 * it. News seems younger than it is by the time that it takes, and must not lift a
	 * limit that was named meanwhile.
	 */
	private static final long NEWS_DELAY_MS = 200;

	/** Rate of a backend server without a limit. */
	public static final double NONE = 0;

	/**
	 * Fraction by which a limit must change for the change to be urgent news; smaller
	 * changes reach the other entries with the regular exchange.
	 */
	private static final double URGENT_CHANGE = 0.1;

	private double perSecond = NONE;

	private double urgentPerSecond = NONE;

	private long evidenceAtMs = Long.MIN_VALUE / 2;

	private long sinceMs;

	private boolean everNamed;

	private BackendLimit() {
	}

	/**
	 * Creates the state of a process that has not named a limit.
	 * @return the state
	 */
	public static BackendLimit create() {
		return new BackendLimit();
	}

	/**
	 * Records evidence.
	 * @param newPerSecond requests per second, or {@link #NONE}
	 * @param atMs time of the evidence: when the head of the response arrived, or if
	 * there is no limit, when its request was sent
	 * @param nowMs the current time; evidence from the future counts as of now
	 * @return how much the limit in force has changed
	 */
	public Change record(double newPerSecond, long atMs, long nowMs) {
		long boundedAtMs = Math.min(atMs, nowMs);
		boolean newer = (newPerSecond > NONE) ? boundedAtMs >= this.evidenceAtMs : boundedAtMs > this.evidenceAtMs;
		if (!newer) {
			return Change.NONE;
		}
		this.evidenceAtMs = boundedAtMs;
		if (newPerSecond == this.perSecond) {
			return Change.NONE;
		}
		boolean wasLimited = isNamed();
		this.perSecond = newPerSecond;
		if (isNamed() != wasLimited) {
			this.everNamed = true;
			this.sinceMs = nowMs;
			this.urgentPerSecond = newPerSecond;
			return isNamed() ? Change.STARTED : Change.ENDED;
		}
		if (Math.abs(newPerSecond - this.urgentPerSecond) <= URGENT_CHANGE * this.urgentPerSecond) {
			return Change.SLIGHT;
		}
		this.urgentPerSecond = newPerSecond;
		return Change.CHANGED;
	}

	/**
	 * Records what another entry that calls this one knows.
	 * @param newPerSecond requests per second, or {@link #NONE}
	 * @param ageMs age of its evidence when it told so
	 * @param nowMs the current time
	 * @return how much the limit in force has changed
	 */
	public Change recordNews(double newPerSecond, long ageMs, long nowMs) {
		long delayMs = (newPerSecond > NONE) ? 0 : NEWS_DELAY_MS;
		return record(newPerSecond, nowMs - Math.max(0, ageMs) - delayMs, nowMs);
	}

	/**
	 * Records what another entry replied. An end counts as of before the question,
	 * however long the reply took.
	 * @param newPerSecond requests per second, or {@link #NONE}
	 * @param ageMs age of its evidence when it replied
	 * @param askedAtMs when this entry asked
	 * @param nowMs the current time
	 * @return how much the limit in force has changed
	 */
	public Change recordReply(double newPerSecond, long ageMs, long askedAtMs, long nowMs) {
		long atMs = (newPerSecond > NONE) ? nowMs : askedAtMs;
		return record(newPerSecond, atMs - Math.max(0, ageMs), nowMs);
	}

	/**
	 * Returns whether a limit is in force.
	 * @return true if it is
	 */
	public boolean isNamed() {
		return this.perSecond > NONE;
	}

	/**
	 * Returns whether the process has ever named a limit.
	 * @return true if it has
	 */
	public boolean wasEverNamed() {
		return this.everNamed;
	}

	/**
	 * Returns the limit.
	 * @return requests per second; {@link #NONE} if there is no limit
	 */
	public double perSecond() {
		return this.perSecond;
	}

	/**
	 * Returns the time of the newest evidence.
	 * @return milliseconds
	 */
	public long evidenceAtMs() {
		return this.evidenceAtMs;
	}

	/**
	 * Returns when the limit began or ended.
	 * @return milliseconds
	 */
	public long sinceMs() {
		return this.sinceMs;
	}

	/**
	 * How much a limit has changed.
	 */
	public enum Change {

		/** It is as before. */
		NONE,
		/** Its value differs slightly. */
		SLIGHT,
		/** Its value differs. */
		CHANGED,
		/** A backend server without a limit has named one. */
		STARTED,
		/** The limit no longer applies. */
		ENDED;

		/**
		 * Returns whether the other entries are to be told at once.
		 * @return true if they are
		 */
		public boolean isUrgent() {
			return this != NONE && this != SLIGHT;
		}

	}

}
