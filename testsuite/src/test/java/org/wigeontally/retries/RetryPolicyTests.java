package org.wigeontally.retries;

import org.testng.annotations.Test;

import org.wigeontally.errors.ErrorType;

import static org.assertj.core.api.Assertions.assertThat;

public class RetryPolicyTests {

	private final RetryPolicy policy = RetryPolicy.create(4);

	/**
	 * Every backend server refuses everything. Seen red with a budget that never runs
	 * out.
	 */
	@Test
	public void retryStormIsBoundedByTheBudget() {
		RetryBudget budget = RetryBudget.create(0.5, 10);
		int attempts = 0;
		for (int i = 0; i < 10_000; i++) {
			budget.request();
			int ofThis = 1;
			while (decide(AttemptOutcome.NOT_RUN, true, ofThis, false, budget).retry()) {
				ofThis++;
			}
			attempts += ofThis;
		}
		assertThat(attempts).isBetween(14_000, 15_010);
	}

	@Test
	public void whatMayHaveRunIsRepeatedOnlyIfIdempotent() {
		RetryBudget budget = RetryBudget.create(0.5, 10);
		assertThat(decide(AttemptOutcome.NOT_RUN, false, 1, false, budget).retry()).isTrue();
		assertThat(decide(AttemptOutcome.MAY_HAVE_RUN, true, 1, false, budget).retry()).isTrue();
		RetryDecision unknown = RetryDecision.giveUp(ErrorType.OUTCOME_UNKNOWN, false);
		assertThat(decide(AttemptOutcome.MAY_HAVE_RUN, false, 1, false, budget)).isEqualTo(unknown);
		assertThat(decide(AttemptOutcome.NOT_RUN, false, 2, true, budget)).isEqualTo(unknown);
		assertThat(decide(AttemptOutcome.PARTLY_ANSWERED, true, 1, false, budget).error())
			.isEqualTo(ErrorType.STREAM_CUT);
	}

	@Test
	public void notRunIsSaidOnlyIfNoAttemptMayHaveRun() {
		RetryBudget budget = RetryBudget.create(0.5, 10);
		assertThat(decide(AttemptOutcome.NOT_RUN, true, 4, false, budget).notRun()).isTrue();
		assertThat(decide(AttemptOutcome.NOT_RUN, true, 4, true, budget).notRun()).isFalse();
		assertThat(decide(AttemptOutcome.MAY_HAVE_RUN, true, 4, false, budget).notRun()).isFalse();
	}

	@Test
	public void hedgesOnlyWhatMayRunTwiceAndIsNoSuspect() {
		RetryBudget budget = RetryBudget.create(0.5, 10);
		assertThat(this.policy.hedge(true, false, 200, 100, budget)).isTrue();
		assertThat(this.policy.hedge(false, false, 200, 100, budget)).isFalse();
		assertThat(this.policy.hedge(true, true, 200, 100, budget)).isFalse();
		assertThat(this.policy.hedge(true, false, 50, 100, budget)).isFalse();
	}

	private RetryDecision decide(AttemptOutcome outcome, boolean idempotent, int attempts, boolean earlierMayHaveRun,
			RetryBudget budget) {
		return this.policy.afterFailure(outcome, idempotent, attempts, earlierMayHaveRun, 1_000, budget);
	}

}
