package org.wigeontally.settings;

import org.wigeontally.schema.generated.PlatformSettings;

/**
 * Validates the addresses of the platform's services.
 */
final class PlatformSettingsValidator {

	private PlatformSettingsValidator() {
	}

	static void validate(FieldValidator fields, boolean present, PlatformSettings platform) {
		fields.requirePresent("platform", present);
		if (!present) {
			return;
		}
		fields.requireAddress("platform.log", platform.hasLog(), platform.getLog());
		fields.requireAddress("platform.host_list", platform.hasHostList(), platform.getHostList());
		if (platform.hasOrigin()) {
			fields.checkAddress("platform.origin", platform.getOrigin());
		}
		if (platform.hasStore()) {
			fields.checkAddress("platform.store", platform.getStore());
		}
	}

}
