package org.wigeontally.retries;

/**
 * Limits retries to a fraction of the requests, so that retries do not amplify an
 * overload. Each request adds this fraction to a token bucket and each retry takes one
 * token. An entry keeps one budget per organisation, so that an organisation with many
 * refused requests does not consume the retries of others. Thread-safe.
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
	 * @param retriesPerRequest retries that are earned by each request, for example 0.1
	 * @param maxBalance maximum number of accumulated retries
	 * @return the budget
	 */
	public static RetryBudget create(double retriesPerRequest, double maxBalance) {
		return new RetryBudget(retriesPerRequest, maxBalance);
	}

	/**
	 * Records the first attempt of a request.
	 */
	public synchronized void recordRequest() {
		this.balance = Math.min(this.maxBalance, this.balance + this.retriesPerRequest);
	}

	/**
	 * Takes one retry from the budget if one is available.
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
