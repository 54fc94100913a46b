package org.wigeontally.fleet;

import java.util.Collection;
import java.util.List;
import java.util.function.Predicate;

/**
 * Finds the connections that an event loop closes because their callers sent nothing.
 *
 * <p>
 * An event loop that was held up has not read what arrived meanwhile, and its tasks may
 * run before it reads. What looks like silence of a caller is then the loop's own delay.
 * A connection is therefore closed in two steps: it is suspected first, and closed only
 * if it is still expired after the loop has polled its sockets again. If the second step
 * is late, the loop may have been held up after that poll, and the suspicion is dropped
 * until the next sweep. Not thread-safe.
 *
 * @param <C> type of the connections
 */
public final class ConnectionSweep<C> {

	/**
	 * Delay of the second step. A timer that is set by a task fires after the next poll.
	 */
	public static final long CONFIRMATION_DELAY_MS = 5;

	/** Delay of the second step from which the loop counts as held up. */
	private static final long MAX_CONFIRMATION_DELAY_MS = 25;

	private List<C> suspects = List.of();

	private long suspectedAtMs;

	private ConnectionSweep() {
	}

	/**
	 * Creates a sweep.
	 * @param <C> type of the connections
	 * @return the sweep
	 */
	public static <C> ConnectionSweep<C> create() {
		return new ConnectionSweep<>();
	}

	/**
	 * Suspects connections.
	 * @param expired connections that seem to be expired
	 * @param nowMs monotonic time
	 * @return whether {@link #confirm} must be called after the delay
	 */
	public boolean suspect(Collection<C> expired, long nowMs) {
		this.suspects = List.copyOf(expired);
		this.suspectedAtMs = nowMs;
		return !this.suspects.isEmpty();
	}

	/**
	 * Returns the suspected connections that are to be closed.
	 * @param isExpired whether a connection is still expired
	 * @param nowMs monotonic time
	 * @return the connections
	 */
	public List<C> confirm(Predicate<C> isExpired, long nowMs) {
		List<C> confirmed = this.suspects.stream().filter(isExpired).toList();
		this.suspects = List.of();
		return (nowMs - this.suspectedAtMs > MAX_CONFIRMATION_DELAY_MS) ? List.of() : confirmed;
	}

}
