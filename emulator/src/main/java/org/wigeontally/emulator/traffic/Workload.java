package org.wigeontally.emulator.traffic;

import java.util.Random;

/**
 * Draws requests: ten organisations, of which two are large, prompts that begin with one
 * of a few prefixes of the organisation, and outputs of widely different length. Used by
 * one thread.
 */
public final class Workload {

	/** Number of organisations. */
	public static final int ORGANISATIONS = 10;

	private static final double[] LARGE_SHARES = { 0.5, 0.2 };

	private static final int PREFIXES_EACH = 4;

	private static final int PREFIX_TOKENS = 300;

	private static final double OWN_PROMPT_MEDIAN_TOKENS = 100;

	private static final double OUTPUT_MEDIAN_TOKENS = 100;

	private static final double SPREAD = 0.7;

	private static final int TOKENS_MAX = 1_500;

	private final Random random;

	private long lastId;

	private Workload(Random random) {
		this.random = random;
	}

	/**
	 * Creates a workload.
	 * @param seed seed of all draws
	 * @return the workload
	 */
	public static Workload create(long seed) {
		return new Workload(new Random(seed));
	}

	/**
	 * Draws the next request.
	 * @return the request
	 */
	public ModelRequest next() {
		int organisation = organisation();
		long prefix = organisation * PREFIXES_EACH + this.random.nextInt(PREFIXES_EACH);
		int own = tokens(OWN_PROMPT_MEDIAN_TOKENS);
		return new ModelRequest(++this.lastId, organisation, PREFIX_TOKENS + own, tokens(OUTPUT_MEDIAN_TOKENS), prefix,
				PREFIX_TOKENS);
	}

	/**
	 * Draws the time to the next request.
	 * @param perSecond mean requests a second
	 * @return milliseconds
	 */
	public double gapMs(double perSecond) {
		return -Math.log(1 - this.random.nextDouble()) * 1_000 / perSecond;
	}

	private int organisation() {
		double draw = this.random.nextDouble();
		for (int i = 0; i < LARGE_SHARES.length; i++) {
			if (draw < LARGE_SHARES[i]) {
				return i;
			}
			draw -= LARGE_SHARES[i];
		}
		return LARGE_SHARES.length + this.random.nextInt(ORGANISATIONS - LARGE_SHARES.length);
	}

	/**
	 * Tells whether an organisation is one of the large ones.
	 * @param organisation its index
	 * @return true if it is large
	 */
	public static boolean large(int organisation) {
		return organisation < LARGE_SHARES.length;
	}

	private int tokens(double median) {
		double drawn = median * Math.exp(SPREAD * this.random.nextGaussian());
		return (int) Math.max(1, Math.min(TOKENS_MAX, drawn));
	}

}
