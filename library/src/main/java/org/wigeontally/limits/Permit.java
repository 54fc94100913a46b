package org.wigeontally.limits;

import org.wigeontally.misc.Clock;

/**
 * Permission to send one request to a limited backend server, for a short time.
 * Immutable.
 *
 * <p>
 * A process can be paused between getting the permit and sending the request. The
 * monotonic clock may not count that time, so the wall clock must agree. A step of the
 * wall clock also ends the permit, which costs one more inquiry.
 *
 * @param monotonicMs when it was asked for
 * @param wallMs the same by the wall clock
 */
public record Permit(long monotonicMs, long wallMs) {

	/** Time for which a permit holds, from the inquiry for it. */
	public static final long MAX_AGE_MS = 1_000;

	/**
	 * Returns a permit that is asked for now.
	 * @param clock source of time
	 * @return the permit
	 */
	public static Permit askedNow(Clock clock) {
		return new Permit(clock.monotonicMs(), clock.wallMs());
	}

	/**
	 * Returns whether the permit still holds.
	 * @param clock source of time
	 * @return true if it does
	 */
	public boolean holds(Clock clock) {
		return clock.monotonicMs() - this.monotonicMs <= MAX_AGE_MS
				&& Math.abs(clock.wallMs() - this.wallMs) <= MAX_AGE_MS;
	}

}
