package org.wigeontally.settings;

import org.wigeontally.errors.Findings;
import org.wigeontally.schema.generated.OperatorSettings;

/**
 * Checks the settings of the operators' command line. Name and key are needed only by
 * commands that sign.
 */
public final class OperatorSettingsValidator implements SettingsValidator<OperatorSettings.Builder> {

	/** Length of an Ed25519 private key in PKCS#8 encoding. */
	private static final int PRIVATE_KEY_BYTES = 48;

	private final boolean signingCommand;

	private OperatorSettingsValidator(boolean signingCommand) {
		this.signingCommand = signingCommand;
	}

	/**
	 * Creates the check for a command.
	 * @param signingCommand true if the command signs
	 * @return the check
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
