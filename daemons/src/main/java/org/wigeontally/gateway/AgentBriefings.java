package org.wigeontally.gateway;

import java.util.Comparator;
import java.util.HashMap;
import java.util.Map;

import io.vertx.core.buffer.Buffer;
import io.vertx.core.datagram.DatagramSocket;

import org.wigeontally.fleet.AnnouncedVersions;
import org.wigeontally.fleet.EntryTable;
import org.wigeontally.fleet.FleetConfiguration;
import org.wigeontally.fleet.Service;
import org.wigeontally.placement.EngineProfile;
import org.wigeontally.schema.generated.Address;
import org.wigeontally.schema.generated.AgentBriefing;
import org.wigeontally.schema.generated.AgentPlace;
import org.wigeontally.schema.generated.EngineStatus;
import org.wigeontally.schema.generated.EntryNews;
import org.wigeontally.schema.generated.EntryPlace;
import org.wigeontally.schema.generated.HostSettings;
import org.wigeontally.settings.Addresses;

/**
 * Builds the briefings for agents: the newest version of their model, the origin, the
 * other agents and the entries. Agents ask entries rather than the store, because a
 * configuration with many routes is large for the link that they share with streams. Runs
 * on the event loop.
 */
final class AgentBriefings {

	/** Time without a report after which an agent is left out of briefings. */
	private static final long AGENT_TIMEOUT_MS = 1_500;

	private final GatewayContext context;

	private final EntryTable entries;

	private final Map<String, ReceivedReport> lastReports = new HashMap<>();

	private long notifiedVersion;

	AgentBriefings(GatewayContext context, EntryTable entries) {
		this.context = context;
		this.entries = entries;
	}

	/**
	 * Records a report, and removes the agent from briefings if it is leaving.
	 * @param status the report
	 */
	void recordReport(EngineStatus status) {
		String agent = Addresses.format(status.getAgent());
		if (status.getLeaving()) {
			this.lastReports.remove(agent);
		}
		else {
			this.lastReports.put(agent, new ReceivedReport(status, this.context.nowMs()));
		}
		this.context.fleet().recordAgentReport(status);
	}

	/**
	 * Notifies all agents of a newly announced version, so that they request the briefing
	 * at once.
	 * @param datagrams socket to send from
	 */
	void notifyNewVersion(DatagramSocket datagrams) {
		AgentBriefing.Builder briefing = modelBriefing();
		if (briefing.getVersion() <= this.notifiedVersion) {
			return;
		}
		this.notifiedVersion = briefing.getVersion();
		Buffer notice = Buffer.buffer(AgentBriefing.newBuilder()
			.setVersion(briefing.getVersion())
			.addEntries(this.context.settings().getControl())
			.build()
			.toByteArray());
		for (ReceivedReport report : this.lastReports.values()) {
			Address agent = report.status().getAgent();
			datagrams.send(notice, agent.getPort(), agent.getIp());
		}
	}

	AgentBriefing handleReport(EngineStatus status) {
		recordReport(status);
		AgentBriefing.Builder briefing = fullBriefing(status);
		long digest = briefing.build().hashCode();
		if (digest == status.getBriefingDigest()) {
			return AgentBriefing.newBuilder().setDigest(digest).setUnchanged(true).build();
		}
		return briefing.setDigest(digest).build();
	}

	private AgentBriefing.Builder fullBriefing(EngineStatus status) {
		AgentBriefing.Builder briefing = modelBriefing();
		FleetConfiguration configuration = this.context.fleet().configuration();
		if (configuration == null) {
			return briefing;
		}
		configuration.origin().ifPresent((origin) -> {
			Addresses.parse(origin.address()).ifPresent(briefing::setOrigin);
			briefing.setOriginRegion(this.context.fleet().region(origin.zone()));
			briefing.setOriginConnections(origin.maxConnections());
		});
		long nowMs = this.context.nowMs();
		this.lastReports.values().removeIf((report) -> nowMs - report.receivedAtMs() > AGENT_TIMEOUT_MS);
		// Agents whose engine is gone fetch nothing, so others must not wait for their
		// share.
		long targetVersion = AnnouncedVersions.targetVersion(briefing.getVersion());
		this.lastReports.entrySet()
			.stream()
			.sorted(Map.Entry.comparingByKey())
			.map((entry) -> entry.getValue().status())
			.filter((other) -> !other.getAgent().equals(status.getAgent()))
			.filter((other) -> !other.getEngineGone() || other.getWholeVersion() >= targetVersion)
			.forEach((other) -> briefing.addAgents(AgentPlace.newBuilder()
				.setAddress(other.getAgent())
				.setZone(other.getZone())
				.setRegion(other.getRegion())
				.setLoadedVersion(other.getLoadedVersion())
				.setWholeVersion(other.getWholeVersion())
				.setLoading(other.getLoading())));
		this.entries.liveEntries(nowMs)
			.stream()
			.sorted(Comparator.comparing((EntryNews entry) -> Addresses.format(entry.getControl())))
			.forEach((entry) -> briefing.addEntryPlaces(toPlace(entry.getControl(), entry.getRegion())));
		this.context.fleet()
			.agentReports()
			.disprovenLoad(Addresses.format(status.getBackend()), status.getEngineBorn())
			.ifPresent((load) -> briefing.setDisprovenOrders(load.startedOrders())
				.setDisprovenEngineBorn(load.engineStartMs()));
		HostSettings settings = this.context.settings();
		return briefing.addEntryPlaces(toPlace(settings.getControl(), settings.getRegion()))
			.setVersionBoundMs((long) settings.getBounds().getVersionMs());
	}

	private static EntryPlace toPlace(Address control, String region) {
		return EntryPlace.newBuilder().setControl(control).setRegion(region).build();
	}

	private AgentBriefing.Builder modelBriefing() {
		AgentBriefing.Builder briefing = AgentBriefing.newBuilder();
		FleetConfiguration configuration = this.context.fleet().configuration();
		if (configuration == null) {
			return briefing;
		}
		for (Service service : configuration.services()) {
			if (service.engine().isPresent()) {
				addModel(briefing, service.engine().get());
				briefing.setEngineHosts(this.context.fleet().countBackendAddresses(service.name()));
			}
		}
		return briefing;
	}

	private void addModel(AgentBriefing.Builder briefing, EngineProfile engine) {
		if (engine.modelNames().isEmpty()) {
			return;
		}
		String modelName = engine.modelNames().get(0);
		briefing.setModel(modelName)
			.setVersion(this.context.fleet().announcedVersions(modelName).newestVersion())
			.setChunks(engine.chunkCount())
			.setChunkBytes(engine.chunkBytes())
			.setLayers(engine.layerCount());
	}

	private record ReceivedReport(EngineStatus status, long receivedAtMs) {

	}

}
