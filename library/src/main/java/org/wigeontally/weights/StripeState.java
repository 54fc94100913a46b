package org.wigeontally.weights;

/**
 * State of one stripe as seen by this host: its rank for the stripe, whether it has taken
 * the stripe over, and the time since the stripe last made progress in the region. Not
 * thread-safe.
 */
final class StripeState {

	/** Shortest stall period, and the cap of a progress interval in the average. */
	static final long MIN_STALL_PERIOD_MS = 1200;

	/**
	 * Shortest time without progress after which other hosts help: that of one chunk
	 * while all stripes share the link of the origin, with its way to the other hosts.
	 */
	private static final long MIN_IDLE_STALL_PERIOD_MS = 700;

	/** Stall period for such a host as a multiple of the average progress interval. */
	private static final double IDLE_STALL_PERIOD_INTERVALS = 2.5;

	/** Stall period as a multiple of the average progress interval. */
	private static final int STALL_PERIOD_INTERVALS = 5;

	private static final double INITIAL_INTERVAL_MS = 500;

	/** Inverse of the weight of a new interval in the moving average. */
	private static final double INTERVAL_SMOOTHING = 4;

	private static final int MAX_TAKEOVER_PERIODS = 8;

	final double jitter;

	/** Rank of this host for the stripe; -1 if it is not ranked. */
	int rank = -1;

	int activeFetches;

	boolean takenOver;

	/** Time of the last progress, or of the first missing chunk seen after it. */
	private long stalledSinceMs;

	/** True if no missing chunk was seen outside the region since the last progress. */
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

	// Restarts the stall timer when a chunk that is missing in the region is first seen
	// in another region after the last progress.
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

	// Returns the number of stall periods after which this host takes the stripe over.
	int takeoverPeriods() {
		return Math.min(this.rank, MAX_TAKEOVER_PERIODS);
	}

	// Returns whether the stripe made no progress for a number of stall periods. The
	// period grows with the average interval between two chunks.
	boolean isStalledFor(long nowMs, int periods) {
		double periodMs = Math.max(MIN_STALL_PERIOD_MS, STALL_PERIOD_INTERVALS * this.averageIntervalMs);
		return nowMs - this.stalledSinceMs >= periodMs * periods * this.jitter;
	}

	// Returns whether the stripe made no progress for so long that this host takes it
	// over if it has no other assigned fetch.
	boolean isStalledForIdleHost(long nowMs) {
		double periodMs = Math.max(MIN_IDLE_STALL_PERIOD_MS, IDLE_STALL_PERIOD_INTERVALS * this.averageIntervalMs);
		return this.rank > 0 && nowMs - this.stalledSinceMs >= periodMs * this.rank;
	}

}
