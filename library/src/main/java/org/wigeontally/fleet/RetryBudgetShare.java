package org.wigeontally.fleet;

/**
 * One entry's share of the retry budget of a service, which limits the retries that all
 * entries together send within a time window. Used by one thread.
 *
 * <p>
 * When backend servers fail many requests at once, callers retry by themselves, and
 * retries of the entries would multiply the load. The budget allows a ratio of the
 * requests and a fixed slack. The ratio applies to the entry's own requests, so the sum
 * over all entries stays within the budget without coordination. The slack is divided by
 * an upper bound of the number of entries, so that entries that cannot reach each other
 * stay within it too.
 */
public final class RetryBudgetShare {

	/**
	 * Fraction of the budget that is used; the rest compensates for windows that start at
	 * different times.
	 */
	private static final double USED_FRACTION = 0.8;

	private final double ratio;

	private final double slack;

	private final SlidingWindowCounter requests;

	private final SlidingWindowCounter retries;

	private int maxEntries = 1;

	private RetryBudgetShare(double ratio, double slack, long windowMs) {
		this.ratio = ratio;
		this.slack = slack;
		this.requests = new SlidingWindowCounter(windowMs);
		this.retries = new SlidingWindowCounter(windowMs);
	}

	/**
	 * Creates the share of one entry in the budget of a service, for a single entry at
	 * first.
	 * @param ratio retries per request
	 * @param slack additional retries of all entries in a window
	 * @param windowMs length of the window
	 * @return the share
	 */
	public static RetryBudgetShare of(double ratio, double slack, long windowMs) {
		return new RetryBudgetShare(ratio * USED_FRACTION, slack * USED_FRACTION, windowMs);
	}

	/**
	 * Sets the number of entries that share the slack.
	 * @param entries maximum number of entries
	 * @return this share
	 */
	public RetryBudgetShare setMaxEntries(int entries) {
		this.maxEntries = Math.max(1, entries);
		return this;
	}

	/**
	 * Records a request of a caller.
	 * @param nowMs current time in milliseconds
	 */
	public void recordRequest(long nowMs) {
		this.requests.add(nowMs);
		this.requests.count(nowMs);
	}

	/**
	 * Takes one retry out of the budget if it is not used up.
	 * @param nowMs current time in milliseconds
	 * @return true if the retry may be sent
	 */
	public boolean tryAcquireRetry(long nowMs) {
		double maxRetries = this.ratio * this.requests.count(nowMs) + this.slack / this.maxEntries;
		if (this.retries.count(nowMs) + 1 > maxRetries) {
			return false;
		}
		this.retries.add(nowMs);
		return true;
	}

}
