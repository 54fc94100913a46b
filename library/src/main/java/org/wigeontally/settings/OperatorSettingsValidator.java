package org.wigeontally.settings;

import org.wigeontally.errors.Findings;
import org.wigeontally.schema.generated.OperatorSettings;

/**
 * Validates the settings of the operators' command line. The operator's name and private
 * key are required only for commands that sign.
 */
public final class OperatorSettingsValidator implements SettingsValidator<OperatorSettings.Builder> {

	/** Length of an Ed25519 private key in PKCS#8 encoding. */
	private static final int PRIVATE_KEY_BYTES = 48;

	private final boolean signingCommand;

	private OperatorSettingsValidator(boolean signingCommand) {
		this.signingCommand = signingCommand;
	}

	/**
	 * Creates the validator for a command.
	 * @param signingCommand true if the command signs
	 * @return the validator
	 */
	public static OperatorSettingsValidator create(boolean signingCommand) {
		return new OperatorSettingsValidator(signingCommand);
	}

	@Override
	public void validate(OperatorSettings.Builder settings, LocationMap locations, Findings findings) {
		FieldValidator fields = new FieldValidator(locations, findings);
		fields.requirePresent("entries", settings.getEntriesCount() > 0);
		fields.checkAddresses("entries", settings.getEntriesList());
		if (this.signingCommand) {
			fields.requireText("operator", settings.getOperator());
		}
		if (this.signingCommand || !settings.getPrivateKey().isEmpty()) {
			fields.requireHex("private_key", settings.getPrivateKey(), PRIVATE_KEY_BYTES);
		}
	}

}
