package org.wigeontally.tool;

import java.nio.file.Path;

import org.wigeontally.errors.InputException;
import org.wigeontally.schema.generated.Bundle;
import org.wigeontally.settings.BundleFileValidator;
import org.wigeontally.settings.SettingsReader;

/**
 * Reads and validates bundle files.
 */
final class BundleFile {

	private BundleFile() {
	}

	static Bundle read(Path file) throws InputException {
		return SettingsReader.readFile(file, Bundle.newBuilder(), BundleFileValidator.create()).build();
	}

}
