package org.wigeontally.knownred;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * The list of tests with known failures, read from KNOWN-RED.txt in the root directory of
 * the repository. Each entry is one line of the form "Class#method | command and seed |
 * what was seen | issue". Blank lines and lines that start with # are skipped.
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
				throw new IllegalArgumentException(FILE_NAME
						+ ": expected \"Class#method | command and seed | what was seen | issue\" but found: " + line);
			}
			entries.put(test, line);
		}
		return new KnownFailures(entries);
	}

	/**
	 * Reads the list from a directory or its nearest parent that contains the file.
	 * @param startDirectory directory where the search starts
	 * @return the list, empty if no directory contains the file
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
	 * Returns the entry of a test. An entry names the class with or without its package;
	 * the qualified name takes precedence.
	 * @param className qualified name of the test class
	 * @param method name of the test method
	 * @return the line of the list, or empty if the test is not listed
	 */
	Optional<String> entry(String className, String method) {
		String simpleName = className.substring(className.lastIndexOf('.') + 1);
		String entry = this.entries.get(className + "#" + method);
		return Optional.ofNullable((entry != null) ? entry : this.entries.get(simpleName + "#" + method));
	}

}
