package org.wigeontally.placement;

import java.util.Arrays;

import org.wigeontally.fleet.SlidingWindowCounter;

/**
 * Requests of each rank for one service that this entry received, placed, and found no
 * slot for. Used by one thread.
 *
 * <p>
 * It answers bursts of a few seconds in one or several ranks. The mix of ranks is that of
 * the last two seconds, so that it follows a burst. What a rank was served is counted
 * over ten seconds: a burst of 6 s in the least urgent rank may then be refused for the
 * most part, because the rank was served before, and is owed the rest if it lasts.
 */
public final class RankDemand {

	/** Least urgent rank; engines distinguish ten priorities. */
	public static final int LAST_RANK = 9;

	/**
	 * Window of the mix of ranks; with 67 entries, each sees about ten requests in it.
	 */
	static final long MIX_WINDOW_MS = 2_000;

	/** Window of the share of requests that are served. */
	static final long SHARE_WINDOW_MS = 10_000;

	private final SlidingWindowCounter[] recentRequests = counters(MIX_WINDOW_MS);

	private final SlidingWindowCounter recentPlacements = new SlidingWindowCounter(MIX_WINDOW_MS);

	private final SlidingWindowCounter[] requests = counters(SHARE_WINDOW_MS);

	private final SlidingWindowCounter[] placements = counters(SHARE_WINDOW_MS);

	private final long[] lastRefusalMs = new long[LAST_RANK + 1];

	private RankDemand() {
		Arrays.fill(this.lastRefusalMs, Long.MIN_VALUE / 2);
	}

	/**
	 * Creates the demand of a service without any requests.
	 * @return the demand
	 */
	public static RankDemand create() {
		return new RankDemand();
	}

	private static SlidingWindowCounter[] counters(long windowMs) {
		SlidingWindowCounter[] counters = new SlidingWindowCounter[LAST_RANK + 1];
		Arrays.setAll(counters, (rank) -> new SlidingWindowCounter(windowMs));
		return counters;
	}

	/**
	 * Returns the rank of requests with a configured priority.
	 * @param priority priority of the organisation or route
	 * @return the rank, 0 for the most urgent
	 */
	public static int rankOf(int priority) {
		return Math.max(0, Math.min(LAST_RANK, priority));
	}

	/**
	 * Records a request of a caller, once however often its placement is tried.
	 * @param rank its rank
	 * @param nowMs current time in milliseconds
	 */
	public void recordRequest(int rank, long nowMs) {
		record(this.recentRequests[rank], nowMs);
		record(this.requests[rank], nowMs);
	}

	/**
	 * Records that a request got its first slot.
	 * @param rank its rank
	 * @param nowMs current time in milliseconds
	 */
	public void recordPlacement(int rank, long nowMs) {
		record(this.recentPlacements, nowMs);
		record(this.placements[rank], nowMs);
	}

	/**
	 * Records that a request found no slot, whether it is refused or waits for one.
	 * @param rank its rank
	 * @param nowMs current time in milliseconds
	 */
	public void recordRefusal(int rank, long nowMs) {
		this.lastRefusalMs[rank] = nowMs;
	}

	// Counting discards events that have left the window.
	private static void record(SlidingWindowCounter counter, long nowMs) {
		counter.add(nowMs);
		counter.count(nowMs);
	}

	int recentRequestsAbove(int rank, long nowMs) {
		return sum(this.recentRequests, rank, nowMs);
	}

	int recentPlacements(long nowMs) {
		return this.recentPlacements.count(nowMs);
	}

	// Time since a request above a rank found no slot.
	long sinceRefusalAboveMs(int rank, long nowMs) {
		long newestMs = Long.MIN_VALUE / 2;
		for (int higher = 0; higher < rank; higher++) {
			newestMs = Math.max(newestMs, this.lastRefusalMs[higher]);
		}
		return nowMs - newestMs;
	}

	// How often a rank was served, relative to the requests of more urgent ranks. One
	// request more is counted as served on both sides, so that a rank without requests is
	// not below its floor.
	double relativeShare(int rank, long nowMs) {
		double share = (this.placements[rank].count(nowMs) + 1.0) / (this.requests[rank].count(nowMs) + 1.0);
		return share * (sum(this.requests, rank, nowMs) + 1.0) / (sum(this.placements, rank, nowMs) + 1.0);
	}

	private static int sum(SlidingWindowCounter[] counters, int endRank, long nowMs) {
		int sum = 0;
		for (int rank = 0; rank < endRank; rank++) {
			sum += counters[rank].count(nowMs);
		}
		return sum;
	}

}
