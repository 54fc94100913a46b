package org.wigeontally.settings;

import org.wigeontally.errors.Findings;
import org.wigeontally.schema.generated.EntrySettings;
import org.wigeontally.schema.generated.OperatorKey;

/**
 * Validates the settings of an entry host.
 */
public final class EntrySettingsValidator implements SettingsValidator<EntrySettings.Builder> {

	/** Length of an Ed25519 public key in X.509 encoding. */
	static final int PUBLIC_KEY_BYTES = 44;

	static final int MAX_DRAIN_MS = 3_600_000;

	private static final int MAX_BODY_LIMIT_BYTES = 64 << 20;

	private EntrySettingsValidator() {
	}

	/**
	 * Creates the validator.
	 * @return the validator
	 */
	public static EntrySettingsValidator create() {
		return new EntrySettingsValidator();
	}

	@Override
	public void validate(EntrySettings.Builder settings, LocationMap locations, Findings findings) {
		FieldValidator fields = new FieldValidator(locations, findings);
		fields.requireText("host", settings.getHost());
		fields.requireText("region", settings.getRegion());
		fields.requireText("zone", settings.getZone());
		fields.requireAddress("listen", settings.hasListen(), settings.getListen());
		fields.checkAddresses("peers", settings.getPeersList());
		PlatformSettingsValidator.validate(fields, settings.hasPlatform(), settings.getPlatform());
		fields.checkRange("drain_ms", settings.getDrainMs(), 1, MAX_DRAIN_MS);
		fields.checkRange("body_limit_bytes", settings.getBodyLimitBytes(), 1, MAX_BODY_LIMIT_BYTES);
		for (int i = 0; i < settings.getOperatorKeysCount(); i++) {
			OperatorKey key = settings.getOperatorKeys(i);
			fields.requireText("operator_keys[" + i + "].name", key.getName());
			fields.requireHex("operator_keys[" + i + "].public_key", key.getPublicKey(), PUBLIC_KEY_BYTES);
		}
		fields.checkUnique("operator_keys", ".name",
				settings.getOperatorKeysList().stream().map(OperatorKey::getName).toList());
	}

}
