package org.wigeontally.control;

import java.util.List;
import java.util.concurrent.TimeUnit;

import org.wigeontally.schema.generated.Address;
import org.wigeontally.schema.generated.AgentSettings;
import org.wigeontally.schema.generated.EntrySettings;
import org.wigeontally.schema.generated.HostIdentity;
import org.wigeontally.schema.generated.Role;

/**
 * What control needs of a process's settings.
 *
 * @param self who this process is; its process id and incarnation are set at the start
 * @param peers addresses of entry hosts to begin with
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
	 * Picks the settings of an entry host's process.
	 * @param settings all its settings
	 * @return those of control
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
	 * Picks the settings of an agent.
	 * @param settings all its settings
	 * @return those of control
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
