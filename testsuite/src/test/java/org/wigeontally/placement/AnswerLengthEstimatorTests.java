package org.wigeontally.placement;

import java.util.Random;

import org.testng.Reporter;
import org.testng.annotations.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Answers with lengths of a long tail and hints of which a fifth is far off, a tenth is
 * missing and some are absurd.
 */
public class AnswerLengthEstimatorTests {

	private static final long SEED = 20_261_206;

	private static final int MEAN_TOKENS = 92;

	/** Guards against estimates that trust every hint, or none. */
	@Test
	public void estimatesBeatMeanAndHint() {
		Random random = new Random(SEED);
		AnswerLengthEstimator estimator = AnswerLengthEstimator.create();
		double error = 0;
		double meanError = 0;
		double hintError = 0;
		for (int i = 0; i < 4_000; i++) {
			int tokens = length(random);
			long hint = hint(random, tokens);
			AnswerLength estimate = estimator.estimate("r", "a", hint, 2_000, MEAN_TOKENS);
			error += Math.abs(estimate.expectedTokens() - tokens);
			meanError += Math.abs(MEAN_TOKENS - tokens);
			hintError += Math.min(2_000, Math.abs(((hint > 0) ? hint : MEAN_TOKENS) - tokens));
			estimator.record(estimate, tokens);
		}
		Reporter.log(String.format("mean errors: estimate %.1f, mean %.1f, hint %.1f", error / 4_000, meanError / 4_000,
				hintError / 4_000));
		assertThat(error).isLessThan(0.8 * meanError);
		assertThat(error).isLessThan(0.8 * hintError);
	}

	/** Guards against a stream beyond its estimate that counts as nearly ended. */
	@Test
	public void streamBeyondItsEstimateIsLikelyToBeLong() {
		Random random = new Random(SEED);
		AnswerLengthEstimator estimator = AnswerLengthEstimator.create();
		double[] remaining = new double[2];
		int[] counts = new int[2];
		for (int i = 0; i < 6_000; i++) {
			int tokens = length(random);
			AnswerLength estimate = estimator.estimate("r", "a", 0, 0, MEAN_TOKENS);
			for (int k = 0; k < 2 && i > 2_000; k++) {
				int written = (k + 1) * 150;
				if (tokens > written) {
					remaining[k] += estimator.remainingTokens(estimate, written) - (tokens - written);
					counts[k] += tokens - written;
				}
			}
			estimator.record(estimate, tokens);
		}
		AnswerLength estimate = estimator.estimate("r", "a", 0, 0, MEAN_TOKENS);
		assertThat(estimator.remainingTokens(estimate, 300)).isGreaterThan(MEAN_TOKENS);
		assertThat(Math.abs(remaining[0])).isLessThan(0.2 * counts[0]);
		assertThat(Math.abs(remaining[1])).isLessThan(0.2 * counts[1]);
	}

	/** Guards against hints and limits that break the estimate, and unbounded memory. */
	@Test
	public void absurdValuesDoNoHarm() {
		AnswerLengthEstimator estimator = AnswerLengthEstimator.create();
		for (int i = 0; i < 100; i++) {
			estimator.record(estimator.estimate("r", "a", 100, 0, MEAN_TOKENS), 100);
		}
		for (long hint : new long[] { Long.MIN_VALUE, -1, 0, Long.MAX_VALUE, 30_000 }) {
			assertThat(estimator.estimate("r", "a", hint, Long.MAX_VALUE, MEAN_TOKENS).expectedTokens()).as("%s", hint)
				.isBetween(50.0, 200.0);
		}
		assertThat(estimator.estimate("r", "a", 100, 7, MEAN_TOKENS).expectedTokens()).isLessThanOrEqualTo(7);
		AnswerLength estimate = estimator.estimate("r", "a", 1, 10, 1);
		assertThat(estimator.remainingTokens(estimate, Integer.MAX_VALUE)).isEqualTo(1);
		for (int i = 0; i < 1_000; i++) {
			estimator.estimate("r" + i, "a", 0, 0, MEAN_TOKENS);
		}
		estimator.record(estimate, 5);
		assertThat(estimator.remainingTokens(estimate, 5)).isGreaterThanOrEqualTo(1);
	}

	// Log-normal with a spread of 1.4 of the mean.
	static int length(Random random) {
		double sigma = Math.sqrt(Math.log(1 + 1.4 * 1.4));
		return (int) Math.max(1,
				Math.min(2_000, MEAN_TOKENS * Math.exp(random.nextGaussian() * sigma - sigma * sigma / 2)));
	}

	static long hint(Random random, int tokens) {
		double kind = random.nextDouble();
		if (kind < 0.1) {
			return (kind < 0.02) ? Long.MAX_VALUE : 0;
		}
		double off = random.nextGaussian() * ((kind < 0.3) ? 2 : 0.3);
		return (long) Math.max(1, tokens * Math.exp(off));
	}

}
