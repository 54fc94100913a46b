package org.wigeontally.settings;

import org.wigeontally.schema.generated.AgentSettings;
import org.wigeontally.schema.generated.EntrySettings;

/**
 * Default values of settings.
 */
public final class SettingsDefaults {

	/** Maximum time for requests in flight to complete after SIGTERM. */
	public static final int DRAIN_MS = 30_000;

	/** Maximum size of a caller's request body. */
	public static final int BODY_LIMIT_BYTES = 1 << 20;

	/** Memory for weight chunks. */
	public static final int CHUNK_MEMORY_MB = 512;

	private SettingsDefaults() {
	}

	/**
	 * Sets defaults for missing settings of an entry host.
	 * @param settings the settings
	 */
	public static void apply(EntrySettings.Builder settings) {
		if (settings.getDrainMs() == 0) {
			settings.setDrainMs(DRAIN_MS);
		}
		if (settings.getBodyLimitBytes() == 0) {
			settings.setBodyLimitBytes(BODY_LIMIT_BYTES);
		}
	}

	/**
	 * Sets defaults for missing settings of an agent. The default cold capacity is 1: a
	 * backend server handles one request at a time after a cold start.
	 * @param settings the settings
	 */
	public static void apply(AgentSettings.Builder settings) {
		if (settings.getDrainMs() == 0) {
			settings.setDrainMs(DRAIN_MS);
		}
		if (settings.getChunkMemoryMb() == 0) {
			settings.setChunkMemoryMb(CHUNK_MEMORY_MB);
		}
		settings.getBackendsBuilderList().forEach((backend) -> {
			if (backend.getColdCapacity() == 0) {
				backend.setColdCapacity(1);
			}
		});
	}

}
