package org.wigeontally.weights;

/**
 * Standing of a lane in the own region: rank of this host, take-over, time since the last
 * progress. Used by one thread.
 */
final class Lane {

	static final long TAKEOVER_MS = 1200;

	private static final int TAKEOVER_INTERVALS = 5;

	private static final double FIRST_INTERVAL_MS = 500;

	private static final double INTERVAL_WEIGHT = 4;

	private static final int MOST_RANK_STEPS = 8;

	final double jitter;

	int rank = -1;

	int fetches;

	boolean takenOver;

	private long sinceMs;

	private boolean idle = true;

	private double intervalMs = FIRST_INTERVAL_MS;

	Lane(long nowMs, double jitter) {
		this.sinceMs = nowMs;
		this.jitter = jitter;
	}

	void progress(long nowMs) {
		this.intervalMs += (Math.min(nowMs - this.sinceMs, TAKEOVER_MS) - this.intervalMs) / INTERVAL_WEIGHT;
		this.sinceMs = nowMs;
		this.idle = true;
	}

	// Starts the wait when the first chunk comes into view outside the region.
	void waiting(long nowMs) {
		if (this.idle) {
			this.sinceMs = Math.max(this.sinceMs, nowMs);
			this.idle = false;
		}
	}

	@Override
	public String toString() {
		return "rank " + this.rank + (this.takenOver ? " taken over" : "") + " fetches " + this.fetches + " since "
				+ this.sinceMs;
	}

	int steps() {
		return Math.min(this.rank, MOST_RANK_STEPS);
	}

	// Tells whether nothing came for some periods, which grow with the usual interval.
	boolean stalledFor(long nowMs, int steps) {
		double periodMs = Math.max(TAKEOVER_MS, TAKEOVER_INTERVALS * this.intervalMs);
		return nowMs - this.sinceMs >= periodMs * steps * this.jitter;
	}

}
