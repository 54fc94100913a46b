package org.wigeontally.settings;

import org.wigeontally.errors.Findings;
import org.wigeontally.schema.generated.EntrySettings;
import org.wigeontally.schema.generated.OperatorKey;

/**
 * Checks the settings of an entry.
 */
public final class EntrySettingsCheck implements SettingsCheck<EntrySettings.Builder> {

	/** Length of an Ed25519 public key in X.509 encoding. */
	static final int PUBLIC_KEY_BYTES = 44;

	static final int MAX_DRAIN_MS = 3_600_000;

	private static final int MAX_BODY_LIMIT_BYTES = 64 << 20;

	private EntrySettingsCheck() {
	}

	/**
	 * Creates the check.
	 * @return the check
	 */
	public static EntrySettingsCheck create() {
		return new EntrySettingsCheck();
	}

	@Override
	public void check(EntrySettings.Builder settings, PlaceMap places, Findings findings) {
		ValueCheck values = new ValueCheck(places, findings);
		values.required("host", settings.getHost());
		values.required("region", settings.getRegion());
		values.required("zone", settings.getZone());
		values.requiredAddress("listen", settings.hasListen(), settings.getListen());
		values.addresses("peers", settings.getPeersList());
		PlatformCheck.check(values, settings.hasPlatform(), settings.getPlatform());
		values.range("drain_ms", settings.getDrainMs(), 1, MAX_DRAIN_MS);
		values.range("body_limit_bytes", settings.getBodyLimitBytes(), 1, MAX_BODY_LIMIT_BYTES);
		for (int i = 0; i < settings.getOperatorKeysCount(); i++) {
			OperatorKey key = settings.getOperatorKeys(i);
			values.required("operator_keys[" + i + "].name", key.getName());
			values.hexadecimal("operator_keys[" + i + "].public_key", key.getPublicKey(), PUBLIC_KEY_BYTES);
		}
		values.unique("operator_keys", ".name",
				settings.getOperatorKeysList().stream().map(OperatorKey::getName).toList());
	}

}
