package org.wigeontally.settings;

import org.wigeontally.schema.generated.AgentSettings;
import org.wigeontally.schema.generated.EntrySettings;

/**
 * Values that settings take if they are not given.
 */
public final class SettingsDefaults {

	/** Longest time for requests in flight to end after SIGTERM. */
	public static final int DRAIN_MS = 30_000;

	/** Longest request body taken from a caller. */
	public static final int BODY_LIMIT_BYTES = 1 << 20;

	/** Memory for chunks of weights. */
	public static final int CHUNK_MEMORY_MB = 512;

	private SettingsDefaults() {
	}

	/**
	 * Fills in what an entry's settings leave out.
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
	 * Fills in what an agent's settings leave out. A backend server without a capacity
	 * for a cold start takes one request at a time then.
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
