package org.wigeontally.retries;

/**
 * Bounds retries to a share of the requests, so that retries cannot multiply an overload.
 * Each request adds the share to a bucket and each retry takes one from it. An entry
 * keeps one budget for each organisation; one that is refused a lot does not spend the
 * others' retries. Safe for use by several threads.
 */
public final class RetryBudget {

	private final double share;

	private final double most;

	private double balance;

	private RetryBudget(double share, double most) {
		this.share = share;
		this.most = most;
		this.balance = most;
	}

	/**
	 * Creates a full budget.
	 * @param share retries for each request, such as 0.1
	 * @param most most retries saved up
	 * @return the budget
	 */
	public static RetryBudget create(double share, double most) {
		return new RetryBudget(share, most);
	}

	/**
	 * Counts a request that is sent for the first time.
	 */
	public synchronized void recordRequest() {
		this.balance = Math.min(this.most, this.balance + this.share);
	}

	/**
	 * Takes one retry, if there is one.
	 * @return true if the retry may be sent
	 */
	public synchronized boolean tryAcquireRetry() {
		if (this.balance < 1) {
			return false;
		}
		this.balance -= 1;
		return true;
	}

}
