package org.wigeontally.weights;

/**
 * Standing of a lane in the own region: rank of this host, take-over, time since the last
 * progress. Used by one thread.
 */
final class StripeState {

	static final long MIN_STALL_PERIOD_MS = 1200;

	private static final int STALL_PERIOD_INTERVALS = 5;

	private static final double INITIAL_INTERVAL_MS = 500;

	private static final double INTERVAL_SMOOTHING = 4;

	private static final int MAX_TAKEOVER_PERIODS = 8;

	final double jitter;

	int rank = -1;

	int activeFetches;

	boolean takenOver;

	private long stalledSinceMs;

	private boolean idle = true;

	private double averageIntervalMs = INITIAL_INTERVAL_MS;

	StripeState(long nowMs, double jitter) {
		this.stalledSinceMs = nowMs;
		this.jitter = jitter;
	}

	void recordProgress(long nowMs) {
		this.averageIntervalMs += (Math.min(nowMs - this.stalledSinceMs, MIN_STALL_PERIOD_MS) - this.averageIntervalMs)
				/ INTERVAL_SMOOTHING;
		this.stalledSinceMs = nowMs;
		this.idle = true;
	}

	// Starts the wait when the first chunk comes into view outside the region.
	void startWaiting(long nowMs) {
		if (this.idle) {
			this.stalledSinceMs = Math.max(this.stalledSinceMs, nowMs);
			this.idle = false;
		}
	}

	@Override
	public String toString() {
		return "rank " + this.rank + (this.takenOver ? " taken over" : "") + " fetches " + this.activeFetches
				+ " since " + this.stalledSinceMs;
	}

	int takeoverPeriods() {
		return Math.min(this.rank, MAX_TAKEOVER_PERIODS);
	}

	// Tells whether nothing came for some periods, which grow with the usual interval.
	boolean isStalledFor(long nowMs, int periods) {
		double periodMs = Math.max(MIN_STALL_PERIOD_MS, STALL_PERIOD_INTERVALS * this.averageIntervalMs);
		return nowMs - this.stalledSinceMs >= periodMs * periods * this.jitter;
	}

}
