package org.wigeontally.sidecar;

import org.wigeontally.schema.generated.AgentBriefing;

/**
 * What an agent knows of the fleet: the briefing with the newest version that any entry
 * gave. Runs on the event loop.
 */
final class FleetView {

	private static final long FIRST_VERSION = 1;

	private AgentBriefing briefing = AgentBriefing.getDefaultInstance();

	private long namedAtMs;

	AgentBriefing briefing() {
		return this.briefing;
	}

	/**
	 * Takes a briefing, unless it knows of an older version than the last one.
	 * @param newest the briefing
	 * @param nowMs the time
	 * @return true if it names a version that was not known
	 */
	boolean take(AgentBriefing newest, long nowMs) {
		if (newest.getModel().isEmpty() || newest.getVersion() < this.briefing.getVersion()) {
			return false;
		}
		boolean named = newest.getVersion() > this.briefing.getVersion();
		if (named) {
			this.namedAtMs = nowMs;
		}
		this.briefing = newest;
		return named;
	}

	boolean isKnown() {
		return !this.briefing.getModel().isEmpty();
	}

	String model() {
		return this.briefing.getModel();
	}

	/**
	 * Returns the version that the engine should hold. Engines start with the first one
	 * before any is named.
	 * @return the version
	 */
	long targetVersion() {
		return Math.max(FIRST_VERSION, this.briefing.getVersion());
	}

	long sinceNamedMs(long nowMs) {
		return (this.briefing.getVersion() == 0) ? 0 : nowMs - this.namedAtMs;
	}

}
