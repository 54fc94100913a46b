package org.wigeontally.settings;

import org.wigeontally.schema.generated.PlatformSettings;

/**
 * Checks the addresses of the platform's services.
 */
final class PlatformCheck {

	private PlatformCheck() {
	}

	static void check(ValueCheck values, boolean present, PlatformSettings platform) {
		values.requiredMessage("platform", present);
		if (!present) {
			return;
		}
		values.requiredAddress("platform.log", platform.hasLog(), platform.getLog());
		values.requiredAddress("platform.host_list", platform.hasHostList(), platform.getHostList());
		if (platform.hasOrigin()) {
			values.address("platform.origin", platform.getOrigin());
		}
		if (platform.hasStore()) {
			values.address("platform.store", platform.getStore());
		}
	}

}
