package org.wigeontally.queueing;

import java.util.ArrayList;
import java.util.List;

import org.wigeontally.fleet.SlidingWindowCounter;

/**
 * The rate at which an entry finds slots for requests of each rank. A slot that a less
 * urgent request got would have gone to a more urgent one that waited, so it counts for
 * both. Used by one thread.
 */
final class PlacementRate {

	/** Number of ranks that are told apart; the wire protocol has as many. */
	static final int RANKS = 10;

	/**
	 * Time over which placements are counted. An entry of 44 places about nine requests a
	 * second; a burst lasts a few seconds.
	 */
	private static final long WINDOW_MS = 1_000;

	private final List<SlidingWindowCounter> placements = new ArrayList<>();

	private PlacementRate() {
		for (int rank = 0; rank < RANKS; rank++) {
			this.placements.add(new SlidingWindowCounter(WINDOW_MS));
		}
	}

	static PlacementRate create() {
		return new PlacementRate();
	}

	static int boundedRank(int rank) {
		return Math.max(0, Math.min(rank, RANKS - 1));
	}

	void record(int rank, long nowMs) {
		this.placements.get(boundedRank(rank)).add(nowMs);
	}

	/**
	 * Returns how many slots requests of a rank could have had lately.
	 * @param rank the rank
	 * @param nowMs current time in milliseconds
	 * @return slots per millisecond
	 */
	double perMs(int rank, long nowMs) {
		int count = 0;
		for (int other = boundedRank(rank); other < RANKS; other++) {
			count += this.placements.get(other).count(nowMs);
		}
		return (double) count / WINDOW_MS;
	}

}
