package org.wigeontally.tool;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.attribute.FileTime;

import org.wigeontally.errors.InputException;
import org.wigeontally.schema.generated.HostSettings;
import org.wigeontally.settings.HostSettingsValidator;
import org.wigeontally.settings.SettingsReader;

/**
 * The settings file of a process, and whether it has changed since it was last read.
 * Thread-safe.
 */
final class SettingsFile {

	private final Path path;

	private final boolean isEntry;

	private FileTime modifiedWhenRead;

	private SettingsFile(Path path, boolean isEntry) {
		this.path = path;
		this.isEntry = isEntry;
	}

	/**
	 * Names a file, without reading it.
	 * @param path the file
	 * @param isEntry whether it is that of an entry, not of an agent
	 * @return the file
	 */
	static SettingsFile of(Path path, boolean isEntry) {
		return new SettingsFile(path, isEntry);
	}

	/**
	 * Reads the file.
	 * @return the settings
	 * @throws InputException with all findings, if there are any
	 */
	synchronized HostSettings read() throws InputException {
		// Taken first, so that a change during the reading counts as one after it.
		this.modifiedWhenRead = modificationTime();
		return SettingsReader.readFile(this.path, HostSettings.newBuilder(), HostSettingsValidator.create(this.isEntry))
			.build();
	}

	synchronized boolean isChanged() {
		FileTime modified = modificationTime();
		return modified != null && !modified.equals(this.modifiedWhenRead);
	}

	private FileTime modificationTime() {
		try {
			return Files.getLastModifiedTime(this.path);
		}
		catch (IOException ex) {
			// The file may be missing while it is being replaced; the next poll finds it.
			return null;
		}
	}

}
