package org.wigeontally.fleet;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Registrations of backend servers that were removed shortly after an outage of the
 * store, and how long they stay in use.
 *
 * <p>
 * After an outage a removed registration may be that of a live backend server that could
 * not renew it, or of one that has left. The store does not tell which. A live one is
 * registered again within one heartbeat; one that has left must get nothing more once the
 * deployment's bound for leaving has passed. So a removed registration stays in use until
 * the grace period ends, but not beyond that bound, which counts from when the backend
 * server was last known to be registered. Used by one thread.
 */
public final class LapsedRegistrations {

	/**
	 * Time from the end of the use of a registration until the next housekeeping, and for
	 * the way of the last request.
	 */
	static final long EFFECT_DELAY_MS = 400;

	private final long maxKeptMs;

	private final Map<String, Removal> removals = new LinkedHashMap<>();

	private LapseGrace grace = LapseGrace.none();

	private LapsedRegistrations(long maxKeptMs) {
		this.maxKeptMs = maxKeptMs;
	}

	/**
	 * Creates an empty set.
	 * @param drainMs time within which a leaving backend server must get no more
	 * requests; 0 if the deployment has no such bound
	 * @return the set
	 */
	public static LapsedRegistrations create(double drainMs) {
		return new LapsedRegistrations((drainMs > 0) ? Math.max(0, (long) drainMs - EFFECT_DELAY_MS) : Long.MAX_VALUE);
	}

	/**
	 * Returns the grace period.
	 * @return the period
	 */
	public LapseGrace grace() {
		return this.grace;
	}

	/**
	 * Sets the grace period.
	 * @param newest the period
	 */
	public void setGrace(LapseGrace newest) {
		this.grace = newest;
	}

	/**
	 * Records that a registration was removed.
	 * @param id id of the backend server
	 * @param knownBeforeMs time as of which it was still registered
	 * @param nowMs current time in milliseconds
	 * @return true if it stays in use for now
	 */
	public boolean keep(String id, long knownBeforeMs, long nowMs) {
		if (this.grace.isOver(nowMs)) {
			return false;
		}
		this.removals.putIfAbsent(id, new Removal(id, knownBeforeMs));
		return true;
	}

	/**
	 * Records that a backend server is registered again.
	 * @param id id of the backend server
	 */
	public void renewed(String id) {
		this.removals.remove(id);
	}

	/**
	 * Takes out the registrations that are no longer to be used.
	 * @param nowMs current time in milliseconds
	 * @return the removals
	 */
	public List<Removal> takeDue(long nowMs) {
		List<Removal> due = new ArrayList<>();
		boolean isOver = this.grace.isOver(nowMs);
		for (Removal removal : this.removals.values()) {
			if (isOver || nowMs - earliestLeavingMs(removal) >= this.maxKeptMs) {
				due.add(removal);
			}
		}
		due.forEach((removal) -> this.removals.remove(removal.id()));
		return due;
	}

	// Nothing is acknowledged while the store is away.
	private long earliestLeavingMs(Removal removal) {
		return Math.max(removal.knownBeforeMs(), this.grace.returnedAtMs());
	}

	/**
	 * Returns the number of registrations that stay in use for now.
	 * @return the number
	 */
	public int count() {
		return this.removals.size();
	}

	/**
	 * The removal of a registration.
	 *
	 * @param id id of the backend server
	 * @param knownBeforeMs time as of which it was still registered
	 */
	public record Removal(String id, long knownBeforeMs) {

	}

}
