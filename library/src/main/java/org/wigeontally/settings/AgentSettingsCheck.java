package org.wigeontally.settings;

import org.wigeontally.errors.Findings;
import org.wigeontally.schema.generated.AgentSettings;
import org.wigeontally.schema.generated.BackendKind;
import org.wigeontally.schema.generated.BackendSettings;

/**
 * Checks the settings of an agent.
 */
public final class AgentSettingsCheck implements SettingsCheck<AgentSettings.Builder> {

	private static final int MAX_CAPACITY = 100_000;

	private static final int MAX_CHUNK_MEMORY_MB = 1 << 20;

	private AgentSettingsCheck() {
	}

	/**
	 * Creates the check.
	 * @return the check
	 */
	public static AgentSettingsCheck create() {
		return new AgentSettingsCheck();
	}

	@Override
	public void check(AgentSettings.Builder settings, PlaceMap places, Findings findings) {
		ValueCheck values = new ValueCheck(places, findings);
		values.required("host", settings.getHost());
		values.required("region", settings.getRegion());
		values.required("zone", settings.getZone());
		values.requiredAddress("listen", settings.hasListen(), settings.getListen());
		values.requiredMessage("entries", settings.getEntriesCount() > 0);
		values.addresses("entries", settings.getEntriesList());
		PlatformCheck.check(values, settings.hasPlatform(), settings.getPlatform());
		values.range("drain_ms", settings.getDrainMs(), 1, EntrySettingsCheck.MAX_DRAIN_MS);
		values.range("chunk_memory_mb", settings.getChunkMemoryMb(), 1, MAX_CHUNK_MEMORY_MB);
		values.requiredMessage("backends", settings.getBackendsCount() > 0);
		for (int i = 0; i < settings.getBackendsCount(); i++) {
			checkBackend(values, "backends[" + i + "].", settings.getBackends(i));
		}
		values.unique("backends", ".address",
				settings.getBackendsList()
					.stream()
					.map((backend) -> backend.hasAddress() ? Addresses.format(backend.getAddress()) : "")
					.toList());
	}

	private static void checkBackend(ValueCheck values, String path, BackendSettings backend) {
		values.required(path + "service", backend.getService());
		values.requiredAddress(path + "address", backend.hasAddress(), backend.getAddress());
		values.requiredMessage(path + "kind", backend.getKind() != BackendKind.BACKEND_KIND_UNSPECIFIED);
		values.requiredRange(path + "capacity", backend.getCapacity(), 1, MAX_CAPACITY);
		int mostCold = (backend.getCapacity() > 0) ? backend.getCapacity() : MAX_CAPACITY;
		values.range(path + "cold_capacity", backend.getColdCapacity(), 1, mostCold);
	}

}
