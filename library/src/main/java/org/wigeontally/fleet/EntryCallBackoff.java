package org.wigeontally.fleet;

/**
 * Decides how long an agent leaves out an entry that does not answer.
 *
 * <p>
 * An entry that stays silent costs a call and its timeout in each round, so it is called
 * less often. But after a loss of power all entries are silent until they have started,
 * and an agent learns of versions and of other agents only from them. So an agent that
 * hears of no entry calls all of them in each round.
 */
public final class EntryCallBackoff {

	private static final int FAILURES_BEFORE_BACKOFF = 3;

	private static final long BACKOFF_MS = 1_500;

	private EntryCallBackoff() {
	}

	/**
	 * Returns the time for which an entry is not called.
	 * @param consecutiveFailures calls in a row that failed
	 * @param otherEntryResponds true if another entry answered its last call
	 * @return milliseconds; 0 to call it in the next round
	 */
	public static long delayMs(int consecutiveFailures, boolean otherEntryResponds) {
		return (otherEntryResponds && consecutiveFailures >= FAILURES_BEFORE_BACKOFF) ? BACKOFF_MS : 0;
	}

}
