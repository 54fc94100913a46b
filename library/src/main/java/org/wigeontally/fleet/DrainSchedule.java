package org.wigeontally.fleet;

/**
 * Schedule of an entry that was told to stop: which requests it still starts, and when it
 * ends. Immutable.
 *
 * <p>
 * Callers keep the address of an entry for some time after the directory no longer lists
 * it, so the entry must go on serving. A request that is still in progress at the end of
 * the grace period would be cut, although another entry could have served it. How long a
 * request takes is not known in advance; the only certain bound is the time at which its
 * caller or its route gives it up. A request is therefore started only if this bound lies
 * before the end of the entry. All others are rejected at once, and their callers can use
 * another entry.
 */
public final class DrainSchedule {

	/**
	 * Part of the grace period between the last answer and the forced end of the process.
	 */
	private static final double END_MARGIN_FRACTION = 0.1;

	private static final long MAX_END_MARGIN_MS = 400;

	/**
	 * Minimum time between the signal and the end of an idle entry, for callers that
	 * still connect. Covers three lifetimes of the directory's answer.
	 */
	private static final long MIN_IDLE_MS = 6_300;

	private final long signalMs;

	private final long lastAnswerMs;

	private final long exitMs;

	private DrainSchedule(long signalMs, long graceMs) {
		long endMarginMs = (long) Math.min(MAX_END_MARGIN_MS, graceMs * END_MARGIN_FRACTION);
		this.signalMs = signalMs;
		this.lastAnswerMs = signalMs + graceMs - endMarginMs;
		this.exitMs = signalMs + graceMs - endMarginMs / 2;
	}

	/**
	 * Creates a schedule.
	 * @param signalMs time of the signal, on the monotonic clock
	 * @param graceMs time between the signal and the forced end of the process
	 * @return the schedule
	 */
	public static DrainSchedule of(long signalMs, long graceMs) {
		return new DrainSchedule(signalMs, graceMs);
	}

	/**
	 * Returns whether a request may be started.
	 * @param expiresAtMs time by which the request has ended in any case, on the
	 * monotonic clock
	 * @return true if it ends before the entry does
	 */
	public boolean isEndingInTime(long expiresAtMs) {
		return expiresAtMs <= this.lastAnswerMs;
	}

	/**
	 * Returns whether the requests in flight must be answered now, whatever their state.
	 * @param nowMs the current time, on the monotonic clock
	 * @return true from the time of the last answer on
	 */
	public boolean isAnswerDue(long nowMs) {
		return nowMs >= this.lastAnswerMs;
	}

	/**
	 * Returns whether the process ends now.
	 * @param nowMs the current time, on the monotonic clock
	 * @param inFlight number of requests in flight
	 * @return true if it ends
	 */
	public boolean isOver(long nowMs, int inFlight) {
		return nowMs >= this.exitMs || (inFlight == 0 && nowMs >= this.signalMs + MIN_IDLE_MS);
	}

}
