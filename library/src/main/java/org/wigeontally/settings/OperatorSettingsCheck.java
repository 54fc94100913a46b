package org.wigeontally.settings;

import org.wigeontally.errors.Findings;
import org.wigeontally.schema.generated.OperatorSettings;

/**
 * Checks the settings of the operators' command line. Name and key are needed only by
 * commands that sign.
 */
public final class OperatorSettingsCheck implements SettingsCheck<OperatorSettings.Builder> {

	/** Length of an Ed25519 private key in PKCS#8 encoding. */
	private static final int PRIVATE_KEY_BYTES = 48;

	private final boolean signs;

	private OperatorSettingsCheck(boolean signs) {
		this.signs = signs;
	}

	/**
	 * Creates the check for a command.
	 * @param signs true if the command signs
	 * @return the check
	 */
	public static OperatorSettingsCheck create(boolean signs) {
		return new OperatorSettingsCheck(signs);
	}

	@Override
	public void check(OperatorSettings.Builder settings, PlaceMap places, Findings findings) {
		ValueCheck values = new ValueCheck(places, findings);
		values.requiredMessage("entries", settings.getEntriesCount() > 0);
		values.addresses("entries", settings.getEntriesList());
		if (this.signs) {
			values.required("operator", settings.getOperator());
		}
		if (this.signs || !settings.getPrivateKey().isEmpty()) {
			values.hexadecimal("private_key", settings.getPrivateKey(), PRIVATE_KEY_BYTES);
		}
	}

}
