package org.wigeontally.placement;

import java.util.Random;

import org.testng.annotations.Test;

import static org.assertj.core.api.Assertions.assertThat;

/** Work of own requests at an engine, with lengths of a long tail. */
public class EngineBacklogTests {

	private static final int MEAN_TOKENS = 92;

	private final AnswerLengthEstimator lengths = AnswerLengthEstimator.create();

	/** Guards against prompts that count after they were read, or requests that stay. */
	@Test
	public void workFollowsTheProgressOfRequests() {
		EngineBacklog backlog = EngineBacklog.create();
		EngineBacklog.OwnRequest first = backlog.add(1_290, estimate(0));
		EngineBacklog.OwnRequest second = backlog.add(600, estimate(0));
		assertThat(backlog.work(this.lengths, 0).ownUnreadTokens()).isEqualTo(1_890);
		first.setWrittenTokens(5);
		EngineWork work = backlog.work(this.lengths, 120);
		assertThat(work.ownUnreadTokens()).isEqualTo(600);
		assertThat(work.ownRequests()).isEqualTo(2);
		assertThat(work.reportAgeMs()).isEqualTo(120);
		assertThat(work.ownContextTokens()).isGreaterThan(1_890 + MEAN_TOKENS);
		first.end();
		second.end();
		second.end();
		assertThat(backlog.work(this.lengths, 0)).isEqualTo(EngineWork.UNKNOWN);
	}

	/** Guards against figures of a caller that close an engine to others. */
	@Test
	public void absurdPromptIsBounded() {
		EngineBacklog backlog = EngineBacklog.create();
		backlog.add(Integer.MAX_VALUE, estimate(Long.MAX_VALUE));
		backlog.add(Integer.MIN_VALUE, estimate(-1));
		assertThat(backlog.work(this.lengths, 0).ownUnreadTokens()).isBetween(0.0, 40_000.0);
	}

	/** Guards against a sum of remaining tokens that is off over a whole batch. */
	@Test
	public void remainingTokensMatchTheAnswers() {
		Random random = new Random(20_261_206);
		double expected = 0;
		double real = 0;
		for (int i = 0; i < 3_000; i++) {
			int tokens = AnswerLengthEstimatorTests.length(random);
			AnswerLength estimate = estimate(AnswerLengthEstimatorTests.hint(random, tokens));
			int written = random.nextInt(200);
			if (written < tokens) {
				EngineBacklog backlog = EngineBacklog.create();
				backlog.add(600, estimate).setWrittenTokens(written);
				expected += backlog.work(this.lengths, 0).ownRemainingTokens();
				real += tokens - written;
			}
			this.lengths.record(estimate, tokens);
		}
		assertThat(expected).isBetween(0.8 * real, 1.2 * real);
	}

	private AnswerLength estimate(long hint) {
		return this.lengths.estimate("r", "a", hint, 0, MEAN_TOKENS);
	}

}
