package org.wigeontally.settings;

import org.wigeontally.errors.Findings;
import org.wigeontally.schema.generated.AgentSettings;
import org.wigeontally.schema.generated.BackendKind;
import org.wigeontally.schema.generated.BackendSettings;

/**
 * Validates the settings of an agent.
 */
public final class AgentSettingsValidator implements SettingsValidator<AgentSettings.Builder> {

	private static final int MAX_CAPACITY = 100_000;

	private static final int MAX_CHUNK_MEMORY_MB = 1 << 20;

	private AgentSettingsValidator() {
	}

	/**
	 * Creates the validator.
	 * @return the validator
	 */
	public static AgentSettingsValidator create() {
		return new AgentSettingsValidator();
	}

	@Override
	public void validate(AgentSettings.Builder settings, LocationMap locations, Findings findings) {
		FieldValidator fields = new FieldValidator(locations, findings);
		fields.requireText("host", settings.getHost());
		fields.requireText("region", settings.getRegion());
		fields.requireText("zone", settings.getZone());
		fields.requireAddress("listen", settings.hasListen(), settings.getListen());
		fields.requirePresent("entries", settings.getEntriesCount() > 0);
		fields.checkAddresses("entries", settings.getEntriesList());
		PlatformSettingsValidator.validate(fields, settings.hasPlatform(), settings.getPlatform());
		fields.checkRange("drain_ms", settings.getDrainMs(), 1, EntrySettingsValidator.MAX_DRAIN_MS);
		fields.checkRange("chunk_memory_mb", settings.getChunkMemoryMb(), 1, MAX_CHUNK_MEMORY_MB);
		fields.requirePresent("backends", settings.getBackendsCount() > 0);
		for (int i = 0; i < settings.getBackendsCount(); i++) {
			validateBackend(fields, "backends[" + i + "].", settings.getBackends(i));
		}
		fields.checkUnique("backends", ".address",
				settings.getBackendsList()
					.stream()
					.map((backend) -> backend.hasAddress() ? Addresses.format(backend.getAddress()) : "")
					.toList());
	}

	private static void validateBackend(FieldValidator fields, String path, BackendSettings backend) {
		fields.requireText(path + "service", backend.getService());
		fields.requireAddress(path + "address", backend.hasAddress(), backend.getAddress());
		fields.requirePresent(path + "kind", backend.getKind() != BackendKind.BACKEND_KIND_UNSPECIFIED);
		fields.requireInRange(path + "capacity", backend.getCapacity(), 1, MAX_CAPACITY);
		int maxColdCapacity = (backend.getCapacity() > 0) ? backend.getCapacity() : MAX_CAPACITY;
		fields.checkRange(path + "cold_capacity", backend.getColdCapacity(), 1, maxColdCapacity);
	}

}
