package org.wigeontally.sidecar;

import java.util.Optional;

import org.wigeontally.fleet.AnnouncedVersions;
import org.wigeontally.fleet.VersionSchedule;
import org.wigeontally.schema.generated.AgentBriefing;
import org.wigeontally.weights.LoadLedger;
import org.wigeontally.weights.PeerDiscovery;

/**
 * An agent's view of the fleet: the last briefing received, where briefings that name an
 * older version are ignored. Runs on the event loop.
 */
final class FleetView {

	/** Bound used while the briefing contains none. */
	private static final long DEFAULT_VERSION_BOUND_MS = 8_000;

	private AgentBriefing briefing = AgentBriefing.getDefaultInstance();

	private final AnnouncedVersions announcedVersions = AnnouncedVersions.create();

	private long firstBriefingAtMs;

	private boolean peersKnown;

	private boolean weightsHeldAtStart;

	private Optional<LoadLedger.Load> disprovenLoad = Optional.empty();

	private long confirmedAtMs = Long.MIN_VALUE / 2;

	/**
	 * Returns the load of the own engine that an earlier agent has found wrong.
	 * @return the load that an entry has named last; empty if none has
	 */
	Optional<LoadLedger.Load> disprovenLoad() {
		return this.disprovenLoad;
	}

	AgentBriefing briefing() {
		return this.briefing;
	}

	/**
	 * Replaces the briefing, unless the received one names no model or an older version
	 * than the current one.
	 * @param received the briefing
	 * @param nowMs current monotonic time
	 * @return true if the briefing announces a newer version
	 */
	boolean updateBriefing(AgentBriefing received, long nowMs) {
		if (received.getDisprovenOrders() > 0) {
			this.disprovenLoad = Optional
				.of(new LoadLedger.Load(received.getDisprovenEngineBorn(), received.getDisprovenOrders()));
		}
		if (received.getModel().isEmpty() || received.getVersion() < this.briefing.getVersion()) {
			return false;
		}
		if (!isKnown()) {
			this.firstBriefingAtMs = nowMs;
			this.weightsHeldAtStart = isHeldByOthers(received);
		}
		boolean isNewVersion = received.getVersion() > this.briefing.getVersion();
		if (isNewVersion) {
			this.announcedVersions.add(received.getVersion(), nowMs);
		}
		this.briefing = received;
		return isNewVersion;
	}

	private static boolean isHeldByOthers(AgentBriefing received) {
		long target = AnnouncedVersions.targetVersion(received.getVersion());
		return received.getAgentsList().stream().anyMatch((agent) -> agent.getWholeVersion() >= target);
	}

	/**
	 * Returns whether other agents held the target version when this agent first heard of
	 * the fleet, so that it joined a running fleet and need not fetch from the origin.
	 * @return false if it started together with the fleet
	 */
	boolean areWeightsHeldAtStart() {
		return this.weightsHeldAtStart;
	}

	/**
	 * Records that an entry has given the briefing or said that it is unchanged.
	 * @param nowMs current monotonic time
	 */
	void confirm(long nowMs) {
		this.confirmedAtMs = nowMs;
	}

	/**
	 * Returns the time since an entry last told of the fleet.
	 * @param nowMs current monotonic time
	 * @return milliseconds
	 */
	long ageMs(long nowMs) {
		return nowMs - this.confirmedAtMs;
	}

	boolean isKnown() {
		return !this.briefing.getModel().isEmpty();
	}

	/**
	 * Returns whether the other agents are known well enough to share chunks out among
	 * them. Once true it stays true, since later agents are added to a running fetch.
	 * @param nowMs current monotonic time
	 * @return true if they are known
	 */
	boolean arePeersKnown(long nowMs) {
		this.peersKnown = this.peersKnown || isKnown() && PeerDiscovery.isComplete(this.briefing.getAgentsCount() + 1,
				this.briefing.getEngineHosts(), nowMs - this.firstBriefingAtMs);
		return this.peersKnown;
	}

	/**
	 * Returns the number of agents that may fetch weights.
	 * @return the number, including this one
	 */
	int agentCount() {
		return Math.max(this.briefing.getAgentsCount() + 1, this.briefing.getEngineHosts());
	}

	String model() {
		return this.briefing.getModel();
	}

	/**
	 * Returns the version that the engine should load. It is the first version until one
	 * is announced.
	 * @return the version
	 */
	long targetVersion() {
		return AnnouncedVersions.targetVersion(this.briefing.getVersion());
	}

	/**
	 * Returns the time until engines with an older version than a given one may all load
	 * at once.
	 * @param version the version
	 * @param nowMs current monotonic time
	 * @return milliseconds; not positive if the time has passed
	 */
	long loadDeadlineInMs(long version, long nowMs) {
		long boundMs = this.briefing.getVersionBoundMs();
		VersionSchedule schedule = VersionSchedule.of((boundMs > 0) ? boundMs : DEFAULT_VERSION_BOUND_MS);
		return this.announcedVersions.endOfUseMs(version - 1, schedule.loadDeadlineMs()) - nowMs;
	}

	/**
	 * Returns the versions that this process has learned of, each with the time when it
	 * did.
	 * @return the versions
	 */
	AnnouncedVersions announcedVersions() {
		return this.announcedVersions;
	}

}
