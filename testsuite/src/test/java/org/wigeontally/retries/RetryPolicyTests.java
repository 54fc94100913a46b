package org.wigeontally.retries;

import org.testng.annotations.Test;

import org.wigeontally.errors.ErrorType;

import static org.assertj.core.api.Assertions.assertThat;

public class RetryPolicyTests {

	private final RetryPolicy policy = RetryPolicy.create(4);

	/**
	 * Guards against a retry storm when every backend server refuses every request. Fails
	 * if the retry budget is never exhausted.
	 */
	@Test
	public void budgetBoundsRetryStorm() {
		RetryBudget budget = RetryBudget.create(0.5, 10);
		int attempts = 0;
		for (int i = 0; i < 10_000; i++) {
			budget.recordRequest();
			int requestAttempts = 1;
			while (decide(AttemptOutcome.NOT_RUN, true, requestAttempts, false, budget).retry()) {
				requestAttempts++;
			}
			attempts += requestAttempts;
		}
		assertThat(attempts).isBetween(14_000, 15_010);
	}

	@Test
	public void retriesAfterPossibleExecutionOnlyIfIdempotent() {
		RetryBudget budget = RetryBudget.create(0.5, 10);
		assertThat(decide(AttemptOutcome.NOT_RUN, false, 1, false, budget).retry()).isTrue();
		assertThat(decide(AttemptOutcome.MAY_HAVE_RUN, true, 1, false, budget).retry()).isTrue();
		RetryDecision unknown = RetryDecision.giveUp(ErrorType.OUTCOME_UNKNOWN, false);
		assertThat(decide(AttemptOutcome.MAY_HAVE_RUN, false, 1, false, budget)).isEqualTo(unknown);
		assertThat(decide(AttemptOutcome.NOT_RUN, false, 2, true, budget)).isEqualTo(unknown);
		assertThat(decide(AttemptOutcome.RESPONSE_STARTED, true, 1, false, budget).error())
			.isEqualTo(ErrorType.STREAM_CUT);
	}

	@Test
	public void reportsNotRunOnlyIfNoAttemptMayHaveRun() {
		RetryBudget budget = RetryBudget.create(0.5, 10);
		assertThat(decide(AttemptOutcome.NOT_RUN, true, 4, false, budget).notRun()).isTrue();
		assertThat(decide(AttemptOutcome.NOT_RUN, true, 4, true, budget).notRun()).isFalse();
		assertThat(decide(AttemptOutcome.MAY_HAVE_RUN, true, 4, false, budget).notRun()).isFalse();
	}

	@Test
	public void hedgesOnlyIdempotentRequestsThatAreNotSuspects() {
		RetryBudget budget = RetryBudget.create(0.5, 10);
		assertThat(this.policy.shouldHedge(true, false, 200, 100, budget)).isTrue();
		assertThat(this.policy.shouldHedge(false, false, 200, 100, budget)).isFalse();
		assertThat(this.policy.shouldHedge(true, true, 200, 100, budget)).isFalse();
		assertThat(this.policy.shouldHedge(true, false, 50, 100, budget)).isFalse();
	}

	private RetryDecision decide(AttemptOutcome outcome, boolean idempotent, int attempts, boolean earlierMayHaveRun,
			RetryBudget budget) {
		return this.policy.decideAfterFailure(outcome, idempotent, attempts, earlierMayHaveRun, 1_000, budget);
	}

}
