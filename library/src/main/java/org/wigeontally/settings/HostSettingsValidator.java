package org.wigeontally.settings;

import org.wigeontally.errors.Findings;
import org.wigeontally.schema.generated.HostSettings;

/**
 * Validates the settings of an entry host or agent process that the platform starts.
 */
public final class HostSettingsValidator implements SettingsValidator<HostSettings.Builder> {

	private static final int MAX_PORT = 65_535;

	private final boolean entryHost;

	private HostSettingsValidator(boolean entryHost) {
		this.entryHost = entryHost;
	}

	/**
	 * Creates the validator.
	 * @param entryHost true for an entry host, false for an agent
	 * @return the validator
	 */
	public static HostSettingsValidator create(boolean entryHost) {
		return new HostSettingsValidator(entryHost);
	}

	@Override
	public void validate(HostSettings.Builder settings, LocationMap locations, Findings findings) {
		FieldValidator fields = new FieldValidator(locations, findings);
		fields.requireText("host", settings.getHost());
		fields.requireText("zone", settings.getZone());
		fields.requireText("region", settings.getRegion());
		fields.requireText("ip", settings.getIp());
		fields.requireInRange("internal_port", settings.getInternalPort(), 1, MAX_PORT);
		fields.requireInRange("metrics_port", settings.getMetricsPort(), 1, MAX_PORT);
		fields.requireAddress("store", settings.hasStore(), settings.getStore());
		if (this.entryHost) {
			fields.requireAddress("front", settings.hasFront(), settings.getFront());
			fields.requireAddress("ready", settings.hasReady(), settings.getReady());
			fields.requireAddress("control", settings.hasControl(), settings.getControl());
			fields.requireAddress("directory", settings.hasDirectory(), settings.getDirectory());
		}
		else {
			fields.requireAddress("backend", settings.hasBackend(), settings.getBackend());
		}
	}

}
