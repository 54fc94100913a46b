package org.wigeontally.fleet;

/**
 * Which part of a request the connection of a caller waits for, and when it has waited
 * too long.
 *
 * <p>
 * A caller does not learn when an entry applies a configuration, so it may rely on any
 * idle limit that was in force since it connected. The longest of them applies. The time
 * for a head counts from its first byte, with the limit that was in force then, and not
 * while the caller waits for a response. Not thread-safe.
 */
public final class CallerConnectionState {

	/**
	 * Time from the end of a caller's timeout until its request counts as overdue. An
	 * event loop that is held up answers late.
	 */
	static final long OVERDUE_MARGIN_MS = 1_000;

	private static final long NOT_DUE = Long.MAX_VALUE;

	private long idleLimitMs;

	private long headLimitMs;

	private long waitingSinceMs;

	private boolean headBegun;

	private int unanswered;

	private long answerDueAtMs = NOT_DUE;

	private CallerConnectionState(long nowMs) {
		this.waitingSinceMs = nowMs;
	}

	/**
	 * Creates the state of a new connection.
	 * @param nowMs monotonic time
	 * @param limits the limits in force
	 * @return the state
	 */
	public static CallerConnectionState opened(long nowMs, CallerLimits limits) {
		CallerConnectionState state = new CallerConnectionState(nowMs);
		state.applyLimits(limits);
		return state;
	}

	/**
	 * Records the limits in force.
	 * @param limits the limits
	 */
	public void applyLimits(CallerLimits limits) {
		this.idleLimitMs = Math.max(this.idleLimitMs, limits.idleTimeoutMs());
	}

	/**
	 * Records the first byte of a request.
	 * @param nowMs monotonic time
	 * @param limits the limits in force
	 */
	public void headBegun(long nowMs, CallerLimits limits) {
		this.headBegun = true;
		this.headLimitMs = limits.headerTimeoutMs();
		this.waitingSinceMs = nowMs;
	}

	/**
	 * Records the end of the headers of a request.
	 */
	public void headReceived() {
		this.headBegun = false;
		this.unanswered++;
	}

	/**
	 * Records that the handling of a request begins. The requests of a connection are
	 * handled one after the other.
	 * @param dueAtMs monotonic time by which its response must have ended
	 */
	public void handlingBegun(long dueAtMs) {
		this.answerDueAtMs = dueAtMs;
	}

	/**
	 * Detects that the response of the current request should have ended.
	 * @param nowMs monotonic time
	 * @return true if it is overdue; once for each request
	 */
	public boolean detectOverdue(long nowMs) {
		if (this.answerDueAtMs == NOT_DUE || nowMs - this.answerDueAtMs <= OVERDUE_MARGIN_MS) {
			return false;
		}
		this.answerDueAtMs = NOT_DUE;
		return true;
	}

	/**
	 * Records the end of a response.
	 * @param nowMs monotonic time
	 */
	public void answered(long nowMs) {
		this.answerDueAtMs = NOT_DUE;
		this.unanswered--;
		this.waitingSinceMs = nowMs;
	}

	/**
	 * Records that parts of responses have not been sent yet.
	 * @param nowMs monotonic time
	 */
	public void responsePending(long nowMs) {
		if (!this.headBegun) {
			this.waitingSinceMs = nowMs;
		}
	}

	/**
	 * Returns how long the caller has sent nothing that was due.
	 * @param nowMs monotonic time
	 * @return milliseconds
	 */
	public long waitedMs(long nowMs) {
		return (this.unanswered > 0) ? 0 : nowMs - this.waitingSinceMs;
	}

	/**
	 * Returns the limit on {@link #waitedMs}.
	 * @return milliseconds
	 */
	public long limitMs() {
		return this.headBegun ? this.headLimitMs : this.idleLimitMs;
	}

	/**
	 * Returns whether the caller has begun a request and not ended its headers.
	 * @return true if it has
	 */
	public boolean isHeadBegun() {
		return this.headBegun;
	}

	/**
	 * Returns whether a request has been begun and its response has not ended.
	 * @return true if so
	 */
	public boolean isInRequest() {
		return this.headBegun || this.unanswered > 0;
	}

	/**
	 * Returns whether the caller has sent nothing that was due for too long.
	 * @param nowMs monotonic time
	 * @return true if the connection is to be closed
	 */
	public boolean isExpired(long nowMs) {
		return waitedMs(nowMs) > limitMs();
	}

}
