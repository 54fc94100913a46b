package org.wigeontally.tool;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;

/**
 * One line of a process's log, read back.
 *
 * @param fields names and values in their order
 */
record LogLine(Map<String, String> fields) {

	/**
	 * Reads a line. Text before the first field is skipped, so that lines may carry what
	 * a collector puts in front.
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
	 * Writes the line for a person: time, host, event, then the other fields.
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
