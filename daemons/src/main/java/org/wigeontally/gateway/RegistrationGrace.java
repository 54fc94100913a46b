package org.wigeontally.gateway;

import java.util.List;

import org.wigeontally.eventlog.EventLog;
import org.wigeontally.eventlog.LogEvent;
import org.wigeontally.fleet.LapseGrace;
import org.wigeontally.fleet.LapsedRegistrations;
import org.wigeontally.fleet.StoreKnowledge;
import org.wigeontally.misc.Clock;

/**
 * The grace period of this entry for registrations that lapsed while the store was away,
 * with a log line for each change of its end. Runs on the event loop.
 */
final class RegistrationGrace {

	/** Changes of the end below this come from the way of messages. */
	private static final long MIN_LOGGED_CHANGE_MS = 50;

	private final LapsedRegistrations lapsed;

	private final Clock clock;

	private final EventLog log;

	RegistrationGrace(double drainMs, Clock clock, EventLog log) {
		this.lapsed = LapsedRegistrations.create(drainMs);
		this.clock = clock;
		this.log = log;
	}

	/**
	 * Keeps registrations that lapsed while the store was away for a grace period after
	 * its return.
	 * @param lostAtMs start of the last call to the store that failed
	 * @param answeredAtMs when the store answered again
	 * @param confirmed false if it may have been away for this entry only
	 */
	void storeReturned(long lostAtMs, long answeredAtMs, boolean confirmed) {
		set(this.lapsed.grace().storeReturned(lostAtMs, answeredAtMs, confirmed),
				confirmed ? "store-returned" : "store-returned-here");
	}

	/**
	 * Records that another entry has told what it knows of the store.
	 * @param upSinceMs a time at which the store was up after its last outage
	 */
	void storeUpSince(long upSinceMs) {
		set(this.lapsed.grace().storeUpSince(upSinceMs), "store-up");
	}

	/**
	 * Records that the store answered some entry, perhaps before it answered this one.
	 * @param asOfMs start of the call that it answered
	 */
	void storeAnswered(long asOfMs) {
		set(this.lapsed.grace().storeAnswered(asOfMs), "store-answered");
	}

	/**
	 * Records the grace period of another entry.
	 * @param restMs what was left of it when the entry replied
	 * @param askedAtMs when this entry asked
	 * @param knowledge what this entry knows of the store
	 */
	void told(long restMs, long askedAtMs, StoreKnowledge knowledge) {
		set(this.lapsed.grace().told(restMs, askedAtMs, knowledge, this.clock.monotonicMs()), "told");
	}

	private void set(LapseGrace newest, String cause) {
		long restBeforeMs = remainingMs();
		this.lapsed.setGrace(newest);
		if (Math.abs(remainingMs() - restBeforeMs) >= MIN_LOGGED_CHANGE_MS) {
			this.log.write(LogEvent.LAPSE_GRACE, "cause", cause, "left-ms", remainingMs(), "before-ms", restBeforeMs,
					"kept", this.lapsed.count());
		}
	}

	/**
	 * Returns the rest of the grace period.
	 * @return milliseconds; 0 if there is none
	 */
	long remainingMs() {
		return this.lapsed.grace().restMs(this.clock.monotonicMs());
	}

	/**
	 * Records that a registration was removed.
	 * @param id id of the backend server
	 * @param knownBeforeMs time as of which it was still registered
	 * @return true if it stays in use for now
	 */
	boolean keep(String id, long knownBeforeMs) {
		return this.lapsed.keep(id, knownBeforeMs, this.clock.monotonicMs());
	}

	/**
	 * Records that a backend server is registered again.
	 * @param id id of the backend server
	 */
	void renewed(String id) {
		this.lapsed.renewed(id);
	}

	/**
	 * Takes out the registrations that are no longer to be used.
	 * @return the removals
	 */
	List<LapsedRegistrations.Removal> takeDue() {
		return this.lapsed.takeDue(this.clock.monotonicMs());
	}

}
