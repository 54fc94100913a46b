package org.wigeontally.queueing;

import java.util.Arrays;
import java.util.random.RandomGenerator;

import org.wigeontally.fleet.RetryAfter;

/**
 * Computes when the caller of a refused request returns to one service.
 *
 * <p>
 * The load that it answers: bursts of some seconds in which callers retry once, and come
 * back within them, since they honour at most a third of the six seconds that they have.
 * Callers of the most urgent rank return when the next slot is expected, spread over the
 * time in which the target can still be met, because a slot found then is worth more than
 * one after the burst. All others return as late as today, so that they do not compete
 * with them. So do callers of the only rank of a service, and all callers if nothing is
 * known of slots. Used by one thread.
 */
public final class ReturnTime {

	/**
	 * Time after which a burst has usually passed, or an engine has loaded its weights. A
	 * retry within that time is refused for good.
	 */
	private static final double AFTER_BURST_MS = 1_700;

	/** Time over which these callers are spread, as far as they wait. */
	private static final double AFTER_BURST_SPREAD_MS = 850;

	/**
	 * Time for which a rank is known after its last request. Longer than a burst, in
	 * which the requests of a rank may all come to other entries.
	 */
	private static final long RANK_LIFETIME_MS = 10_000;

	private static final long NEVER_MS = Long.MIN_VALUE / 2;

	private final QueuePolicy policy;

	private final RandomGenerator random;

	private final long[] arrivedAtMs = new long[PlacementRate.RANKS];

	private ReturnTime(QueuePolicy policy, RandomGenerator random) {
		this.policy = policy;
		this.random = random;
		Arrays.fill(this.arrivedAtMs, NEVER_MS);
	}

	/**
	 * Creates the computation for one service.
	 * @param policy knows when slots are expected
	 * @param random source of the spread
	 * @return the computation
	 */
	public static ReturnTime create(QueuePolicy policy, RandomGenerator random) {
		return new ReturnTime(policy, random);
	}

	/**
	 * Records that a request arrived, whatever becomes of it.
	 * @param rank its rank
	 * @param nowMs current time in milliseconds
	 */
	public void recordArrival(int rank, long nowMs) {
		this.arrivedAtMs[PlacementRate.boundedRank(rank)] = nowMs;
	}

	/**
	 * Computes the delay for one caller.
	 * @param request its request
	 * @param remainingMs remaining time of the caller
	 * @param nowMs current time in milliseconds
	 * @return seconds
	 */
	public double seconds(WaitingRequest request, double remainingMs, long nowMs) {
		int rank = PlacementRate.boundedRank(request.rank());
		if (!isMostUrgent(rank, nowMs) || !this.policy.isRateKnown(rank, nowMs)) {
			return RetryAfter.spreadSeconds(AFTER_BURST_MS, AFTER_BURST_SPREAD_MS, remainingMs, this.random);
		}
		double nextSlotMs = this.policy.slotIntervalMs(rank, nowMs);
		double targetLeftMs = request.latestPlacementMs() - nowMs;
		double spreadMs = Math.max(nextSlotMs, targetLeftMs - nextSlotMs) / 2;
		return RetryAfter.spreadSeconds(nextSlotMs / 2, spreadMs, remainingMs, this.random);
	}

	private boolean isMostUrgent(int rank, long nowMs) {
		for (int other = 0; other < rank; other++) {
			if (isKnown(other, nowMs)) {
				return false;
			}
		}
		for (int other = rank + 1; other < this.arrivedAtMs.length; other++) {
			if (isKnown(other, nowMs)) {
				return true;
			}
		}
		return false;
	}

	private boolean isKnown(int rank, long nowMs) {
		return nowMs - this.arrivedAtMs[rank] <= RANK_LIFETIME_MS;
	}

}
