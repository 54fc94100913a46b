package org.wigeontally.placement;

import java.util.Arrays;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

import org.HdrHistogram.HistogramIterationValue;
import org.HdrHistogram.IntCountsHistogram;

/**
 * Estimates how many tokens an answer will have, from the caller's hint, the number of
 * tokens allowed and the answers of the same route and organisation so far.
 *
 * <p>
 * It answers lengths with a long tail (a spread of 1.2 to 1.6 of their mean) and hints
 * that are right at the median but far off at times, missing or absurd. Each length that
 * was seen is weighted by how often hints were as far off as this one would be. A hint
 * that no length explains therefore says nothing, and the estimate is the mean of the
 * lengths. The remaining tokens of an answer are the mean of the lengths beyond what was
 * written already: an answer that exceeds its estimate is likely to be long.
 *
 * <p>
 * Before any answer the lengths are those of the engine's profile. Memory is bounded by
 * the number of pairs of route and organisation that are kept, the most recently used
 * ones. Used by one thread.
 */
public final class AnswerLengthEstimator {

	/** Largest number of tokens that is told apart; far above what engines write. */
	public static final int MAX_TOKENS = 1 << 15;

	/** Pairs of route and organisation; each takes about 2 KB. */
	private static final int MAX_KEYS = 256;

	/**
	 * Answers after which a new histogram begins; the one before it counts as well. The
	 * tail, a tenth of them, needs about a hundred.
	 */
	private static final int GENERATION_COUNT = 1_000;

	/**
	 * Answers that the lengths and hints assumed at the start count as; few, so that a
	 * route is known after a second.
	 */
	private static final int PRIOR_COUNT = 20;

	/**
	 * Lengths relative to the mean that are assumed before any answer: the quantiles at
	 * 0.05, 0.15 and so on of a log-normal distribution with a spread of 1.4 of its mean.
	 */
	private static final double[] PRIOR_LENGTHS = { 0.11, 0.2, 0.29, 0.39, 0.51, 0.66, 0.87, 1.17, 1.71, 3.21 };

	/** Factor by which hints are assumed to be off, and how many of 20 are so. */
	private static final double[][] PRIOR_RATIOS = { { 0.1, 1 }, { 0.5, 2 }, { 0.75, 3 }, { 1, 8 }, { 1.33, 3 },
			{ 2, 2 }, { 10, 1 } };

	/**
	 * Count that is added to each factor, so that a single hint never rules out a length.
	 */
	private static final double RATIO_FLOOR = 0.2;

	/** Number of a ratio's bins to each doubling. */
	private static final int BINS_PER_DOUBLING = 2;

	/** Bins from a ratio of 1/256 to 256; what is further off counts as the last one. */
	private static final int MIDDLE_BIN = 8 * BINS_PER_DOUBLING;

	private final Map<Key, Lengths> lengths = new LinkedHashMap<>(16, 0.75F, true) {

		@Override
		protected boolean removeEldestEntry(Map.Entry<Key, Lengths> eldest) {
			return size() > MAX_KEYS;
		}

	};

	private AnswerLengthEstimator() {
	}

	/**
	 * Creates an estimator that has seen no answer.
	 * @return the estimator
	 */
	public static AnswerLengthEstimator create() {
		return new AnswerLengthEstimator();
	}

	/**
	 * Estimates the length of an answer.
	 * @param route name of the route
	 * @param organisation name of the calling organisation
	 * @param hint the caller's estimate in tokens; not positive if there is none
	 * @param allowed most tokens that the answer may have; not positive if unknown
	 * @param meanTokens mean of the engine's profile, for a route without answers
	 * @return the estimate
	 */
	public AnswerLength estimate(String route, String organisation, long hint, long allowed, int meanTokens) {
		int hintTokens = (hint > 0 && hint < MAX_TOKENS) ? (int) hint : 0;
		int maxTokens = (allowed > 0 && allowed < MAX_TOKENS) ? (int) allowed : MAX_TOKENS;
		Lengths known = this.lengths.computeIfAbsent(new Key(route, organisation), (key) -> new Lengths(meanTokens));
		return new AnswerLength(route, organisation, hintTokens, maxTokens,
				known.expectedTokens(hintTokens, maxTokens, 0));
	}

	/**
	 * Returns the expected tokens that an answer still needs.
	 * @param estimate its estimate
	 * @param written tokens that were written already
	 * @return number of tokens; at least 1
	 */
	public double remainingTokens(AnswerLength estimate, int written) {
		if (written == 0) {
			return estimate.expectedTokens();
		}
		Lengths known = this.lengths.get(new Key(estimate.route(), estimate.organisation()));
		double expected = (known != null)
				? known.expectedTokens(estimate.hintTokens(), estimate.maxTokens(), Math.min(written, MAX_TOKENS - 1))
				: estimate.expectedTokens();
		return Math.max(1, expected - written);
	}

	/**
	 * Records the length of a complete answer.
	 * @param estimate its estimate
	 * @param tokens its tokens
	 */
	public void record(AnswerLength estimate, int tokens) {
		Lengths known = this.lengths.get(new Key(estimate.route(), estimate.organisation()));
		if (known != null && tokens > 0) {
			known.record(estimate.hintTokens(), Math.min(tokens, MAX_TOKENS - 1));
		}
	}

	private record Key(String route, String organisation) {

	}

	private static final class Lengths {

		private IntCountsHistogram previous = new IntCountsHistogram(MAX_TOKENS, 1);

		private IntCountsHistogram newest = new IntCountsHistogram(MAX_TOKENS, 1);

		private final double[] ratios = new double[2 * MIDDLE_BIN + 1];

		private Lengths(int meanTokens) {
			for (double length : PRIOR_LENGTHS) {
				this.newest.recordValueWithCount((long) Math.min(MAX_TOKENS - 1, Math.max(1, length * meanTokens)),
						PRIOR_COUNT / PRIOR_LENGTHS.length);
			}
			for (double[] ratio : PRIOR_RATIOS) {
				this.ratios[bin(ratio[0])] += ratio[1];
			}
		}

		private void record(int hintTokens, int length) {
			this.newest.recordValue(length);
			if (this.newest.getTotalCount() >= GENERATION_COUNT) {
				IntCountsHistogram oldest = this.previous;
				this.previous = this.newest;
				this.newest = oldest;
				this.newest.reset();
				Arrays.setAll(this.ratios, (i) -> this.ratios[i] / 2);
			}
			if (hintTokens > 0) {
				this.ratios[bin((double) length / hintTokens)]++;
			}
		}

		private double expectedTokens(int hintTokens, int maxTokens, int written) {
			double weights = 0;
			double sum = 0;
			for (IntCountsHistogram generation : List.of(this.previous, this.newest)) {
				for (HistogramIterationValue value : generation.recordedValues()) {
					long length = Math.min(maxTokens, generation.medianEquivalentValue(value.getValueIteratedTo()));
					if (length <= written) {
						continue;
					}
					double weight = value.getCountAtValueIteratedTo() * likelihood(hintTokens, length);
					weights += weight;
					sum += weight * length;
				}
			}
			// If it is longer than any answer so far, the rest is about as long as what
			// was written, as usual with a long tail.
			double expected = (weights > 0) ? sum / weights : Math.max(written + 1, 2.0 * written);
			return Math.min(maxTokens, expected);
		}

		private double likelihood(int hintTokens, long length) {
			return (hintTokens > 0) ? this.ratios[bin((double) length / hintTokens)] + RATIO_FLOOR : 1;
		}

		private static int bin(double ratio) {
			double doublings = Math.log(ratio) / Math.log(2);
			int bin = MIDDLE_BIN + (int) Math.round(doublings * BINS_PER_DOUBLING);
			return Math.max(0, Math.min(2 * MIDDLE_BIN, bin));
		}

	}

}
