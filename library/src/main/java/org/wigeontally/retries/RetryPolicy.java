package org.wigeontally.retries;

import org.wigeontally.errors.ErrorType;

/**
 * Decides whether a failed attempt is retried.
 *
 * <p>
 * A request may be retried if it is known that no attempt has run. If an attempt may have
 * run, the request is retried only if it is idempotent; otherwise its outcome is unknown,
 * and the response reports this and never states that the request did not run. Once a
 * part of the response has reached the caller, nothing is retried here: the stream is
 * resumed or ends. Each retry requires time before the deadline and a retry from the
 * budget. Immutable and thread-safe.
 */
public final class RetryPolicy {

	private final int maxAttempts;

	private RetryPolicy(int maxAttempts) {
		this.maxAttempts = maxAttempts;
	}

	/**
	 * Creates a policy.
	 * @param maxAttempts maximum number of attempts per request, including the first
	 * @return the policy
	 */
	public static RetryPolicy create(int maxAttempts) {
		return new RetryPolicy(maxAttempts);
	}

	/**
	 * Decides what to do after a failed attempt.
	 * @param outcome what is known about the attempt
	 * @param idempotent true if the request may run more than once
	 * @param attempts number of attempts made, none of which returned a response
	 * @param earlierMayHaveRun true if an earlier attempt may have run
	 * @param remainingMs time remaining until the deadline
	 * @param budget retry budget of the calling organisation
	 * @return the decision
	 */
	public RetryDecision decideAfterFailure(AttemptOutcome outcome, boolean idempotent, int attempts,
			boolean earlierMayHaveRun, long remainingMs, RetryBudget budget) {
		boolean notRun = outcome == AttemptOutcome.NOT_RUN && !earlierMayHaveRun;
		if (outcome == AttemptOutcome.RESPONSE_STARTED) {
			return RetryDecision.giveUp(ErrorType.STREAM_CUT, false);
		}
		if (!notRun && !idempotent) {
			return RetryDecision.giveUp(ErrorType.OUTCOME_UNKNOWN, false);
		}
		if (remainingMs <= 0) {
			return RetryDecision.giveUp(ErrorType.DEADLINE, notRun);
		}
		if (attempts >= this.maxAttempts || !budget.tryAcquireRetry()) {
			return RetryDecision.giveUp(notRun ? ErrorType.OVERLOADED : ErrorType.BACKEND_FAILED, notRun);
		}
		return RetryDecision.allowRetry();
	}

	/**
	 * Decides whether to hedge, that is, to send a second copy of the request while the
	 * first is outstanding.
	 * @param idempotent true if the request may run more than once
	 * @param suspect true if the content is suspected of bringing backend servers down
	 * @param waitedMs time since the first copy was sent
	 * @param firstPartP95Ms 95th percentile of the time until the first part of a
	 * response
	 * @param budget retry budget of the calling organisation
	 * @return true if a second copy is to be sent
	 */
	public boolean shouldHedge(boolean idempotent, boolean suspect, long waitedMs, long firstPartP95Ms,
			RetryBudget budget) {
		return idempotent && !suspect && waitedMs > firstPartP95Ms && budget.tryAcquireRetry();
	}

}
