package org.wigeontally.knownred;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * The list of tests that fail for a known fault, KNOWN-RED.txt at the repository's root.
 * An entry is one line, "Class#method | command and seed | what was seen | issue"; lines
 * that start with # and empty lines are skipped.
 */
final class KnownFailures {

	private static final String FILE_NAME = "KNOWN-RED.txt";

	private static final int COLUMN_COUNT = 4;

	private final Map<String, String> entries;

	private KnownFailures(Map<String, String> entries) {
		this.entries = entries;
	}

	static KnownFailures parse(List<String> lines) {
		Map<String, String> entries = new LinkedHashMap<>();
		for (String line : lines) {
			if (line.isBlank() || line.startsWith("#")) {
				continue;
			}
			String[] columns = line.split("\\|", -1);
			String test = columns[0].strip();
			if (columns.length != COLUMN_COUNT || !test.matches("[\\w.$]+#\\w+")) {
				throw new IllegalArgumentException(
						FILE_NAME + ": not \"Class#method | command and seed | what was seen | issue\": " + line);
			}
			entries.put(test, line);
		}
		return new KnownFailures(entries);
	}

	/**
	 * Reads the list from the nearest folder upwards that holds it.
	 * @param startDirectory folder to start from
	 * @return the list, empty if there is no file
	 * @throws IOException if the file cannot be read
	 */
	static KnownFailures readNearest(Path startDirectory) throws IOException {
		for (Path directory = startDirectory.toAbsolutePath(); directory != null; directory = directory.getParent()) {
			if (Files.exists(directory.resolve(FILE_NAME))) {
				return parse(Files.readAllLines(directory.resolve(FILE_NAME)));
			}
		}
		return parse(List.of());
	}

	/**
	 * Returns the entry of a test.
	 * @param className qualified name of the test's class
	 * @param method name of the test's method
	 * @return the line of the list, which may name the class with or without its package
	 */
	Optional<String> entry(String className, String method) {
		String simpleName = className.substring(className.lastIndexOf('.') + 1);
		String entry = this.entries.get(className + "#" + method);
		return Optional.ofNullable((entry != null) ? entry : this.entries.get(simpleName + "#" + method));
	}

}
