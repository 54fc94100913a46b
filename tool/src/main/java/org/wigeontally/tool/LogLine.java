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
		int at = line.indexOf("time=");
		if (at < 0 || !line.contains(" event=")) {
			return Optional.empty();
		}
		Map<String, String> fields = new LinkedHashMap<>();
		while (at < line.length()) {
			int equals = line.indexOf('=', at);
			if (equals < 0) {
				break;
			}
			String name = line.substring(at, equals).strip();
			int start = equals + 1;
			boolean quoted = start < line.length() && line.charAt(start) == '"';
			int end = quoted ? line.indexOf('"', start + 1) : line.indexOf(' ', start);
			end = (end >= 0) ? end : line.length();
			fields.put(name, line.substring(quoted ? start + 1 : start, end));
			at = end + 1;
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
