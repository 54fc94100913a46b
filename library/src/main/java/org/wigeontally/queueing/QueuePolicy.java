package org.wigeontally.queueing;

import java.util.ArrayList;
import java.util.List;

import org.wigeontally.queueing.WaitDecision.Reason;

/**
 * Decides whether a request that found no slot waits at the entry or is refused.
 *
 * <p>
 * The load that it answers: all engines are full for some seconds (370 of 384 slots taken
 * when the least urgent rank comes at 2.6 times and the most urgent at 1.7 times its
 * rate). A slot becomes free every 3 ms then, but 44 entries compete for it, and one
 * entry gets one in about 100 ms. A request with 200 ms left is probably placed in time
 * if nothing is ahead of it, and one with two ahead of it is not.
 *
 * <p>
 * Slots are assumed to be found independently of each other at the rate at which this
 * entry has lately found them for the rank, so their number in a given time has a Poisson
 * distribution. A request waits if enough slots for it and for those ahead of it are
 * likely. The rate is corrected by the outcome of earlier waits of the rank, which covers
 * what the entry does not see: other entries that wait too, slots that are reserved, and
 * requests that leave. Holding a request that is refused in the end harms its caller, but
 * not within the first eighth of its target; a smaller chance is enough for that time,
 * and these waits show when slots can be found again. Used by one thread.
 */
public final class QueuePolicy {

	/**
	 * Chance from which a request is held for longer than is harmless. With 0.5 here and
	 * 0.2 below, half as many waits again fail after the harmless time, for a gain of
	 * less than 0.01 of the value (load of RequestQueueLoadTests).
	 */
	private static final double MIN_CHANCE = 0.65;

	/** Chance from which a request is held for the harmless time. */
	private static final double MIN_HARMLESS_CHANCE = 0.15;

	/**
	 * Chance below which a request that waits is refused. Lower than the chance at the
	 * start, because most of the harm is done.
	 */
	private static final double MIN_CHANCE_TO_STAY = 0.25;

	private final PlacementRate rate = PlacementRate.create();

	private final List<WaitRecord> records = new ArrayList<>();

	private QueuePolicy() {
		for (int rank = 0; rank < PlacementRate.RANKS; rank++) {
			this.records.add(WaitRecord.create());
		}
	}

	/**
	 * Creates the policy of one service without a record.
	 * @return the policy
	 */
	public static QueuePolicy create() {
		return new QueuePolicy();
	}

	/**
	 * Records that a request was placed, with or without waiting.
	 * @param rank its rank
	 * @param nowMs current time in milliseconds
	 */
	public void recordPlacement(int rank, long nowMs) {
		this.rate.recordPlacement(rank, nowMs);
	}

	/**
	 * Records how a wait ended that was ended by a slot or by its own limit.
	 * @param rank rank of the request
	 * @param predicted chance that was predicted
	 * @param placed whether it was placed
	 * @param nowMs current time in milliseconds
	 */
	void recordWait(int rank, double predicted, boolean placed, long nowMs) {
		this.records.get(PlacementRate.boundedRank(rank)).recordEnd(predicted, placed, nowMs);
	}

	/**
	 * Returns the expected time until this entry finds a slot for a rank.
	 * @param rank the rank
	 * @param nowMs current time in milliseconds
	 * @return milliseconds
	 */
	public double slotIntervalMs(int rank, long nowMs) {
		return 1 / ratePerMs(rank, nowMs);
	}

	/**
	 * Returns whether a request of a rank, or a less urgent one, was placed lately.
	 * @param rank the rank
	 * @param nowMs current time in milliseconds
	 * @return false if nothing is known of its slots
	 */
	boolean isRateKnown(int rank, long nowMs) {
		return this.rate.isKnown(rank, nowMs);
	}

	private double ratePerMs(int rank, long nowMs) {
		double correction = this.records.get(PlacementRate.boundedRank(rank)).correction(nowMs);
		return this.rate.perMs(rank, nowMs) * correction;
	}

	/**
	 * Decides on a request that has found no slot.
	 * @param request the request
	 * @param ahead number of waiting requests that are served before it
	 * @param nowMs current time in milliseconds
	 * @return the decision
	 */
	public WaitDecision decide(WaitingRequest request, int ahead, long nowMs) {
		long leftMs = request.latestPlacementMs() - nowMs;
		if (leftMs <= 0) {
			return new WaitDecision(nowMs, 0, Reason.LATE);
		}
		this.rate.recordShortage(request.rank(), nowMs);
		double perMs = ratePerMs(request.rank(), nowMs);
		double chance = chanceOfSlots(ahead + 1, perMs * leftMs);
		if (chance >= MIN_CHANCE) {
			return new WaitDecision(lastUsefulMs(request, perMs, nowMs), chance, Reason.EXPECTED);
		}
		long harmlessMs = Math.min(leftMs, request.harmlessUntilMs() - nowMs);
		double harmlessChance = chanceOfSlots(ahead + 1, perMs * harmlessMs);
		if (harmlessMs > 0 && harmlessChance >= MIN_HARMLESS_CHANCE) {
			return new WaitDecision(nowMs + harmlessMs, harmlessChance, Reason.HARMLESS);
		}
		return new WaitDecision(nowMs, chance, Reason.UNLIKELY);
	}

	/**
	 * Returns whether a request goes on waiting.
	 * @param request the request
	 * @param ahead number of waiting requests that are served before it
	 * @param nowMs current time in milliseconds
	 * @return false if it has to be refused now
	 */
	boolean mayStay(WaitingRequest request, int ahead, long nowMs) {
		if (nowMs < Math.min(request.harmlessUntilMs(), request.latestPlacementMs())) {
			return true;
		}
		long leftMs = request.latestPlacementMs() - nowMs;
		return leftMs > 0 && chanceOfSlots(ahead + 1, ratePerMs(request.rank(), nowMs) * leftMs) >= MIN_CHANCE_TO_STAY;
	}

	// From then on, the time left is too short for a slot even if nothing is ahead.
	private static long lastUsefulMs(WaitingRequest request, double perMs, long nowMs) {
		double shortestMs = -Math.log(1 - MIN_CHANCE_TO_STAY) / perMs;
		long lastMs = request.latestPlacementMs() - (long) shortestMs;
		long harmlessMs = Math.min(request.harmlessUntilMs(), request.latestPlacementMs());
		return Math.max(nowMs + 1, Math.max(harmlessMs, lastMs));
	}

	// Probability that at least this number of slots is found.
	private static double chanceOfSlots(int slots, double expectedSlots) {
		double term = Math.exp(-Math.max(0, expectedSlots));
		double fewer = 0;
		for (int found = 0; found < slots && fewer < 1; found++) {
			fewer += term;
			term *= expectedSlots / (found + 1);
		}
		return Math.max(0, 1 - fewer);
	}

}
