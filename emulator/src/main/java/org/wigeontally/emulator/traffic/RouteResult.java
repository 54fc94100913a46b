package org.wigeontally.emulator.traffic;

import org.HdrHistogram.Histogram;

/**
 * What was seen in the measured window of a run. Filled by one thread.
 */
public final class RouteResult {

	private static final long HIGHEST_US = 600_000_000L;

	private final double startMs;

	private final double endMs;

	private final Histogram firstTokenUs = new Histogram(HIGHEST_US, 3);

	private final Histogram betweenTokensUs = new Histogram(HIGHEST_US, 3);

	private final Histogram refusalUs = new Histogram(HIGHEST_US, 3);

	private final long[] offered = new long[Workload.ORGANISATIONS];

	private final long[] good = new long[Workload.ORGANISATIONS];

	private long completed;

	private long refused;

	private long retries;

	RouteResult(double startMs, double endMs) {
		this.startMs = startMs;
		this.endMs = endMs;
	}

	void offered(double nowMs, int organisation) {
		if (inWindow(nowMs)) {
			this.offered[organisation]++;
		}
	}

	void firstToken(double nowMs, double tookMs) {
		record(this.firstTokenUs, nowMs, tookMs);
	}

	void betweenTokens(double nowMs, double tookMs) {
		record(this.betweenTokensUs, nowMs, tookMs);
	}

	void refused(double nowMs, double tookMs) {
		record(this.refusalUs, nowMs, tookMs);
		if (inWindow(nowMs)) {
			this.refused++;
		}
	}

	void retried(double nowMs) {
		if (inWindow(nowMs)) {
			this.retries++;
		}
	}

	void completed(double nowMs, int organisation, boolean inTime) {
		if (!inWindow(nowMs)) {
			return;
		}
		this.completed++;
		if (inTime) {
			this.good[organisation]++;
		}
	}

	/**
	 * Returns requests a second that were completed with their first token in time.
	 * @return the rate
	 */
	public double goodPerSecond() {
		return sum(this.good) / seconds();
	}

	/**
	 * Returns requests a second that were completed.
	 * @return the rate
	 */
	public double completedPerSecond() {
		return this.completed / seconds();
	}

	/**
	 * Returns requests a second that were offered.
	 * @return the rate
	 */
	public double offeredPerSecond() {
		return sum(this.offered) / seconds();
	}

	/**
	 * Returns refusals for each request offered.
	 * @return the ratio
	 */
	public double refusalsPerRequest() {
		return this.refused / (double) sum(this.offered);
	}

	/**
	 * Returns retries for each request offered.
	 * @return the ratio
	 */
	public double retriesPerRequest() {
		return this.retries / (double) sum(this.offered);
	}

	/**
	 * Returns a percentile of the time to the first token, as the caller sees it.
	 * @param percentile between 0 and 100
	 * @return milliseconds
	 */
	public double firstTokenMs(double percentile) {
		return this.firstTokenUs.getValueAtPercentile(percentile) / 1_000.0;
	}

	/**
	 * Returns a percentile of the time between tokens.
	 * @param percentile between 0 and 100
	 * @return milliseconds
	 */
	public double betweenTokensMs(double percentile) {
		return this.betweenTokensUs.getValueAtPercentile(percentile) / 1_000.0;
	}

	/**
	 * Returns a percentile of the time from sending a request to its refusal.
	 * @param percentile between 0 and 100
	 * @return milliseconds; 0 if nothing was refused
	 */
	public double refusalMs(double percentile) {
		return (this.refusalUs.getTotalCount() == 0) ? 0 : this.refusalUs.getValueAtPercentile(percentile) / 1_000.0;
	}

	/**
	 * Returns what each organisation got of its max-min fair share.
	 * @param capacityPerSecond requests a second that could be served
	 * @return shares by organisation, 1 for all of it
	 */
	public double[] shares(double capacityPerSecond) {
		double[] fair = MaxMinShare.of(this.offered, capacityPerSecond * seconds());
		double[] shares = new double[fair.length];
		for (int i = 0; i < fair.length; i++) {
			shares[i] = this.good[i] / fair[i];
		}
		return shares;
	}

	private void record(Histogram histogram, double nowMs, double tookMs) {
		if (inWindow(nowMs)) {
			histogram.recordValue(Math.min(HIGHEST_US, Math.round(tookMs * 1_000)));
		}
	}

	private boolean inWindow(double nowMs) {
		return nowMs >= this.startMs && nowMs < this.endMs;
	}

	private double seconds() {
		return (this.endMs - this.startMs) / 1_000;
	}

	private static long sum(long[] counts) {
		long sum = 0;
		for (long count : counts) {
			sum += count;
		}
		return sum;
	}

}
