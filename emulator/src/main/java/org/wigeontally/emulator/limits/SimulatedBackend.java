package org.wigeontally.emulator.limits;

import java.util.ArrayList;
import java.util.List;

/**
 * A backend server of a simulation. Used by one thread.
 */
final class SimulatedBackend {

	private static final double MS_PER_SECOND = 1000;

	/** Requests in advance that make the backend server count as full. */
	private static final double MAX_DEBT = 3;

	private final String id;

	private final int slots;

	private final List<Double> arrivalsMs = new ArrayList<>();

	private final List<Double> countedArrivalsMs = new ArrayList<>();

	private double limit;

	private int running;

	// Requests that the limit allows by now, at most one.
	private double credit;

	private double creditAtMs;

	private double creditFullAtMs = Double.MAX_VALUE;

	SimulatedBackend(String id, int slots) {
		this.id = id;
		this.slots = slots;
	}

	String id() {
		return this.id;
	}

	double limit() {
		return this.limit;
	}

	void setLimit(double perSecond, double nowMs) {
		updateCredit(nowMs);
		this.limit = perSecond;
	}

	int running() {
		return this.running;
	}

	boolean hasSlot() {
		return this.running < this.slots;
	}

	void arrived(double nowMs, boolean excused) {
		updateCredit(nowMs);
		// Requests that were sent before the limit was known do not count for long.
		this.credit = Math.max(-MAX_DEBT, this.credit - 1);
		this.creditFullAtMs = Double.MAX_VALUE;
		this.running++;
		this.arrivalsMs.add(nowMs);
		if (!excused) {
			this.countedArrivalsMs.add(nowMs);
		}
	}

	void ended() {
		this.running--;
	}

	/**
	 * Returns whether a request could have been sent for some time.
	 * @param nowMs the current time
	 * @param reactionMs time in which entries can learn of it
	 * @return true if a slot is free, or the limit allows a request
	 */
	boolean hasRoom(double nowMs, double reactionMs) {
		updateCredit(nowMs);
		return hasSlot() && (this.limit == 0 || nowMs - this.creditFullAtMs > reactionMs);
	}

	private void updateCredit(double nowMs) {
		if (this.limit > 0) {
			double missing = 1 - this.credit;
			double fullInMs = missing / this.limit * MS_PER_SECOND;
			if (missing > 0 && nowMs - this.creditAtMs >= fullInMs) {
				this.creditFullAtMs = this.creditAtMs + fullInMs;
			}
			this.credit = Math.min(1, this.credit + (nowMs - this.creditAtMs) / MS_PER_SECOND * this.limit);
		}
		this.creditAtMs = nowMs;
	}

	int arrivals(double fromMs, double toMs) {
		return (int) this.arrivalsMs.stream().filter((atMs) -> atMs >= fromMs && atMs < toMs).count();
	}

	/**
	 * Returns the requests of the worst window, divided by what it allows.
	 * @param fromMs start of the first window
	 * @param toMs end of the last window
	 * @param perSecond the limit
	 * @return the share for each window that begins with a request
	 */
	List<Double> windowShares(double fromMs, double toMs, double perSecond) {
		double allowed = LimitWindows.allowed(perSecond);
		List<Double> times = this.countedArrivalsMs.stream().filter((atMs) -> atMs >= fromMs && atMs < toMs).toList();
		return LimitWindows.counts(times).stream().map((count) -> count / allowed).toList();
	}

}
