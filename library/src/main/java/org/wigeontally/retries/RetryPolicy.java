package org.wigeontally.retries;

import org.wigeontally.errors.ErrorType;

/**
 * Decides whether a failed attempt is repeated.
 *
 * <p>
 * An attempt that is known not to have run may be repeated whatever the request is. One
 * that may have run is repeated only if the request is idempotent; otherwise its outcome
 * is unknown and the answer says so, never "not run". Once a part of the answer has
 * reached the caller nothing is repeated here: a stream is resumed or ends. Every repeat
 * needs time before the deadline and a retry from the budget. Immutable and safe for use
 * by several threads.
 */
public final class RetryPolicy {

	private final int maxAttempts;

	private RetryPolicy(int maxAttempts) {
		this.maxAttempts = maxAttempts;
	}

	/**
	 * Creates a policy.
	 * @param attemptsMax most attempts of a request, the first included
	 * @return the policy
	 */
	public static RetryPolicy create(int maxAttempts) {
		return new RetryPolicy(maxAttempts);
	}

	/**
	 * Decides after a failed attempt.
	 * @param outcome what is known of the attempt
	 * @param idempotent true if the request may run more than once
	 * @param attempts attempts made, all of which brought no answer
	 * @param earlierMayHaveRun true if an earlier attempt may have run
	 * @param remainingMs time before the deadline
	 * @param budget budget of the calling organisation
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
	 * Decides whether a second copy is sent while the first is outstanding.
	 * @param idempotent true if the request may run more than once
	 * @param suspect true if its content is suspected of bringing backend servers down
	 * @param waitedMs time since the first copy was sent
	 * @param usualMs time within which 95 in 100 get their first part
	 * @param budget budget of the calling organisation
	 * @return true to send one copy more
	 */
	public boolean shouldHedge(boolean idempotent, boolean suspect, long waitedMs, long firstPartP95Ms,
			RetryBudget budget) {
		return idempotent && !suspect && waitedMs > firstPartP95Ms && budget.tryAcquireRetry();
	}

}
