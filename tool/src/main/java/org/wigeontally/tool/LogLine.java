package org.wigeontally.tool;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;

/**
 * Parsed line of the log of a process.
 *
 * @param fields values by name, in the order of the line
 */
record LogLine(Map<String, String> fields) {

	/**
	 * Parses a line. Text before the first field is skipped, because a log collector may
	 * add a prefix.
	 * @param line the line
	 * @return the fields, if the line is an event
	 */
	static Optional<LogLine> parse(String line) {
		int position = line.indexOf("time=");
		if (position < 0 || !line.contains(" event=")) {
			return Optional.empty();
		}
		Map<String, String> fields = new LinkedHashMap<>();
		while (position < line.length()) {
			int equalsPosition = line.indexOf('=', position);
			if (equalsPosition < 0) {
				break;
			}
			String name = line.substring(position, equalsPosition).strip();
			int valueStart = equalsPosition + 1;
			boolean quoted = valueStart < line.length() && line.charAt(valueStart) == '"';
			int valueEnd = quoted ? line.indexOf('"', valueStart + 1) : line.indexOf(' ', valueStart);
			valueEnd = (valueEnd >= 0) ? valueEnd : line.length();
			fields.put(name, line.substring(quoted ? valueStart + 1 : valueStart, valueEnd));
			position = valueEnd + 1;
		}
		return Optional.of(new LogLine(fields));
	}

	String field(String name) {
		return this.fields.getOrDefault(name, "");
	}

	/**
	 * Formats the line for display: time, host and event, then the other fields without
	 * the log level.
	 * @return the text
	 */
	String format() {
		StringBuilder text = new StringBuilder();
		text.append(field("time")).append("  ").append(field("host")).append("  ").append(field("event"));
		this.fields.forEach((name, value) -> {
			if (!name.equals("time") && !name.equals("host") && !name.equals("event") && !name.equals("level")) {
				text.append("  ").append(name).append('=').append(value);
			}
		});
		return text.toString();
	}

}
