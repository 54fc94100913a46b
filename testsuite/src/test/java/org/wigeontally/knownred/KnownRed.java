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
final class KnownRed {

	private static final String FILE = "KNOWN-RED.txt";

	private static final int COLUMNS = 4;

	private final Map<String, String> entries;

	private KnownRed(Map<String, String> entries) {
		this.entries = entries;
	}

	static KnownRed parse(List<String> lines) {
		Map<String, String> entries = new LinkedHashMap<>();
		for (String line : lines) {
			if (line.isBlank() || line.startsWith("#")) {
				continue;
			}
			String[] columns = line.split("\\|", -1);
			String test = columns[0].strip();
			if (columns.length != COLUMNS || !test.matches("[\\w.$]+#\\w+")) {
				throw new IllegalArgumentException(
						FILE + ": not \"Class#method | command and seed | what was seen | issue\": " + line);
			}
			entries.put(test, line);
		}
		return new KnownRed(entries);
	}

	/**
	 * Reads the list from the nearest folder upwards that holds it.
	 * @param start folder to start from
	 * @return the list, empty if there is no file
	 * @throws IOException if the file cannot be read
	 */
	static KnownRed find(Path start) throws IOException {
		for (Path folder = start.toAbsolutePath(); folder != null; folder = folder.getParent()) {
			if (Files.exists(folder.resolve(FILE))) {
				return parse(Files.readAllLines(folder.resolve(FILE)));
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
		String simple = className.substring(className.lastIndexOf('.') + 1);
		String entry = this.entries.get(className + "#" + method);
		return Optional.ofNullable((entry != null) ? entry : this.entries.get(simple + "#" + method));
	}

}
