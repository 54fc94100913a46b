package org.wigeontally.queueing;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;

import org.wigeontally.fleet.SlidingWindowCounter;

/**
 * The rate at which an entry finds slots for requests of each rank. A slot that a less
 * urgent request got would have gone to a more urgent one that waited, so it counts for
 * both. If none was found lately, slots are expected the later the longer requests have
 * lacked them, as when all engines load weights. Used by one thread.
 */
final class PlacementRate {

	/** Number of ranks that are told apart; the wire protocol has as many. */
	static final int RANKS = 10;

	/**
	 * Time over which placements are counted. An entry of 44 places about nine requests a
	 * second; a burst lasts a few seconds.
	 */
	private static final long WINDOW_MS = 1_000;

	/**
	 * Time in which a slot is expected if nothing was placed lately and requests have
	 * just begun to lack slots. An entry without traffic tries short waits with it.
	 */
	private static final double UNKNOWN_INTERVAL_MS = 250;

	private static final long NO_SHORTAGE = Long.MIN_VALUE / 2;

	// Since when requests of a rank have found no slot.
	private final long[] shortageSinceMs = new long[RANKS];

	private final List<SlidingWindowCounter> placements = new ArrayList<>();

	private PlacementRate() {
		for (int rank = 0; rank < RANKS; rank++) {
			this.placements.add(new SlidingWindowCounter(WINDOW_MS));
		}
		Arrays.fill(this.shortageSinceMs, NO_SHORTAGE);
	}

	static PlacementRate create() {
		return new PlacementRate();
	}

	static int boundedRank(int rank) {
		return Math.max(0, Math.min(rank, RANKS - 1));
	}

	void recordPlacement(int rank, long nowMs) {
		this.placements.get(boundedRank(rank)).add(nowMs);
		Arrays.fill(this.shortageSinceMs, 0, boundedRank(rank) + 1, NO_SHORTAGE);
	}

	void recordShortage(int rank, long nowMs) {
		if (this.shortageSinceMs[boundedRank(rank)] == NO_SHORTAGE) {
			this.shortageSinceMs[boundedRank(rank)] = nowMs;
		}
	}

	boolean isKnown(int rank, long nowMs) {
		return count(rank, nowMs) > 0;
	}

	/**
	 * Returns how many slots requests of a rank could have had lately.
	 * @param rank the rank
	 * @param nowMs current time in milliseconds
	 * @return slots per millisecond
	 */
	double perMs(int rank, long nowMs) {
		int count = count(rank, nowMs);
		if (count > 0) {
			return (double) count / WINDOW_MS;
		}
		long sinceMs = this.shortageSinceMs[boundedRank(rank)];
		return 1 / Math.max(UNKNOWN_INTERVAL_MS, (sinceMs == NO_SHORTAGE) ? 0 : nowMs - sinceMs);
	}

	private int count(int rank, long nowMs) {
		int count = 0;
		for (int other = boundedRank(rank); other < RANKS; other++) {
			count += this.placements.get(other).count(nowMs);
		}
		return count;
	}

}
