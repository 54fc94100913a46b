package org.wigeontally.control;

import java.util.List;
import java.util.concurrent.TimeUnit;

import org.wigeontally.schema.generated.Address;
import org.wigeontally.schema.generated.AgentSettings;
import org.wigeontally.schema.generated.EntrySettings;
import org.wigeontally.schema.generated.HostIdentity;
import org.wigeontally.schema.generated.Role;

/**
 * Settings of the control plane of a process.
 *
 * @param self identity of this process; its process id and incarnation are set later
 * @param peers addresses of the entry hosts to exchange with initially
 * @param logRetentionMs how long the log keeps records, in milliseconds
 */
public record ControlSettings(HostIdentity self, List<Address> peers, long logRetentionMs) {

	private static final long LOG_RETENTION_MS = TimeUnit.HOURS.toMillis(1);

	/**
	 * Copies the peers.
	 */
	public ControlSettings {
		peers = List.copyOf(peers);
	}

	/**
	 * Extracts the settings of the control plane from those of an entry.
	 * @param settings settings of the entry
	 * @return settings of the control plane
	 */
	public static ControlSettings of(EntrySettings settings) {
		HostIdentity self = HostIdentity.newBuilder()
			.setHost(settings.getHost())
			.setRegion(settings.getRegion())
			.setZone(settings.getZone())
			.setRole(Role.ENTRY)
			.setAddress(settings.getListen())
			.build();
		return new ControlSettings(self, settings.getPeersList(), LOG_RETENTION_MS);
	}

	/**
	 * Extracts the settings of the control plane from those of an agent.
	 * @param settings settings of the agent
	 * @return settings of the control plane
	 */
	public static ControlSettings of(AgentSettings settings) {
		HostIdentity self = HostIdentity.newBuilder()
			.setHost(settings.getHost())
			.setRegion(settings.getRegion())
			.setZone(settings.getZone())
			.setRole(Role.AGENT)
			.setAddress(settings.getListen())
			.build();
		return new ControlSettings(self, settings.getEntriesList(), LOG_RETENTION_MS);
	}

}
