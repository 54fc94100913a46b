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
 *
 * <p>
 * An entry that runs until it happens to be idle ends between a request that it answered
 * and one that it has taken meanwhile. It is therefore closed first: it accepts no more
 * connections, and ends when the last one has been closed.
 */
public final class DrainSchedule {

	/**
	 * Part of the grace period between the last answer and the forced end of the process.
	 */
	private static final double END_MARGIN_FRACTION = 0.1;

	private static final long MAX_END_MARGIN_MS = 400;

	/**
	 * Time after the signal for which the entry accepts connections. Covers three
	 * lifetimes of the directory's answer.
	 */
	private static final long MIN_OPEN_MS = 6_300;

	private final long closingMs;

	private final long lastAnswerMs;

	private final long exitMs;

	private DrainSchedule(long signalMs, long openMs, long graceMs) {
		long endMarginMs = (long) Math.min(MAX_END_MARGIN_MS, graceMs * END_MARGIN_FRACTION);
		this.lastAnswerMs = signalMs + graceMs - endMarginMs;
		this.closingMs = Math.min(signalMs + openMs, this.lastAnswerMs);
		this.exitMs = signalMs + graceMs - endMarginMs / 2;
	}

	/**
	 * Creates a schedule.
	 * @param signalMs time of the signal, on the monotonic clock
	 * @param graceMs time between the signal and the forced end of the process
	 * @return the schedule
	 */
	public static DrainSchedule of(long signalMs, long graceMs) {
		return of(signalMs, MIN_OPEN_MS, graceMs);
	}

	/**
	 * Creates a schedule of a process that is not found by the directory.
	 * @param signalMs time of the signal, on the monotonic clock
	 * @param openMs time after the signal for which connections are accepted
	 * @param graceMs time between the signal and the forced end of the process
	 * @return the schedule
	 */
	public static DrainSchedule of(long signalMs, long openMs, long graceMs) {
		return new DrainSchedule(signalMs, openMs, graceMs);
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
	 * Returns whether the entry accepts no more connections.
	 * @param nowMs the current time, on the monotonic clock
	 * @return true from the time of its closing on
	 */
	public boolean isClosingDue(long nowMs) {
		return nowMs >= this.closingMs;
	}

	/**
	 * Returns the time until the process ends, whatever is still open.
	 * @param nowMs the current time, on the monotonic clock
	 * @return milliseconds; not positive if it ends now
	 */
	public long remainingMs(long nowMs) {
		return this.exitMs - nowMs;
	}

}
