package org.wigeontally.settings;

import org.wigeontally.errors.Findings;
import org.wigeontally.schema.generated.HostSettings;

/**
 * Checks the settings of a process on the platform.
 */
public final class HostSettingsCheck implements SettingsCheck<HostSettings.Builder> {

	private static final int MAX_PORT = 65_535;

	private final boolean entry;

	private HostSettingsCheck(boolean entry) {
		this.entry = entry;
	}

	/**
	 * Creates the check.
	 * @param entry true for an entry, false for an agent
	 * @return the check
	 */
	public static HostSettingsCheck create(boolean entry) {
		return new HostSettingsCheck(entry);
	}

	@Override
	public void check(HostSettings.Builder settings, PlaceMap places, Findings findings) {
		ValueCheck values = new ValueCheck(places, findings);
		values.required("host", settings.getHost());
		values.required("zone", settings.getZone());
		values.required("region", settings.getRegion());
		values.required("ip", settings.getIp());
		values.requiredRange("internal_port", settings.getInternalPort(), 1, MAX_PORT);
		values.requiredRange("metrics_port", settings.getMetricsPort(), 1, MAX_PORT);
		values.requiredAddress("store", settings.hasStore(), settings.getStore());
		if (this.entry) {
			values.requiredAddress("front", settings.hasFront(), settings.getFront());
			values.requiredAddress("ready", settings.hasReady(), settings.getReady());
			values.requiredAddress("control", settings.hasControl(), settings.getControl());
			values.requiredAddress("directory", settings.hasDirectory(), settings.getDirectory());
		}
		else {
			values.requiredAddress("backend", settings.hasBackend(), settings.getBackend());
		}
	}

}
