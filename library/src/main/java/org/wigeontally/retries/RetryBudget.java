package org.wigeontally.retries;

/**
 * Bounds retries to a share of the requests, so that retries cannot multiply an overload.
 * Each request adds the share to a bucket and each retry takes one from it. An entry
 * keeps one budget for each organisation; one that is refused a lot does not spend the
 * others' retries. Safe for use by several threads.
 */
public final class RetryBudget {

	private final double retriesPerRequest;

	private final double maxBalance;

	private double balance;

	private RetryBudget(double retriesPerRequest, double maxBalance) {
		this.retriesPerRequest = retriesPerRequest;
		this.maxBalance = maxBalance;
		this.balance = maxBalance;
	}

	/**
	 * Creates a full budget.
	 * @param share retries for each request, such as 0.1
	 * @param most most retries saved up
	 * @return the budget
	 */
	public static RetryBudget create(double retriesPerRequest, double maxBalance) {
		return new RetryBudget(retriesPerRequest, maxBalance);
	}

	/**
	 * Counts a request that is sent for the first time.
	 */
	public synchronized void recordRequest() {
		this.balance = Math.min(this.maxBalance, this.balance + this.retriesPerRequest);
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
