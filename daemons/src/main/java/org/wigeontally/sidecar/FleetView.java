package org.wigeontally.sidecar;

import java.util.HashMap;
import java.util.Map;

import org.wigeontally.schema.generated.AgentBriefing;

/**
 * What an agent knows of the fleet: the briefing with the newest version that any entry
 * gave. Runs on the event loop.
 */
final class FleetView {

	private static final long FIRST_VERSION = 1;

	private AgentBriefing briefing = AgentBriefing.getDefaultInstance();

	private final Map<Long, Long> announcedAtMs = new HashMap<>();

	AgentBriefing briefing() {
		return this.briefing;
	}

	/**
	 * Takes a briefing, unless it knows of an older version than the last one.
	 * @param received the briefing
	 * @param nowMs the time
	 * @return true if it names a version that was not known
	 */
	boolean updateBriefing(AgentBriefing received, long nowMs) {
		if (received.getModel().isEmpty() || received.getVersion() < this.briefing.getVersion()) {
			return false;
		}
		boolean isNewVersion = received.getVersion() > this.briefing.getVersion();
		if (isNewVersion) {
			this.announcedAtMs.put(received.getVersion(), nowMs);
		}
		this.briefing = received;
		return isNewVersion;
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

	/**
	 * Returns how long ago this process learnt of a version.
	 * @param version the version
	 * @param nowMs the time
	 * @return milliseconds; 0 if it was never named
	 */
	long sinceAnnouncedMs(long version, long nowMs) {
		Long atMs = this.announcedAtMs.get(version);
		return (atMs != null) ? nowMs - atMs : 0;
	}

}
