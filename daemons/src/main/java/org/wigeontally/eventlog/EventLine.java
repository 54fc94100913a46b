package org.wigeontally.eventlog;

/**
 * Builder of a log line of {@code key=value}. Values are quoted where needed and never
 * contain a line break.
 */
public final class EventLine {

	private static final int TYPICAL_LENGTH = 160;

	private final StringBuilder text = new StringBuilder(TYPICAL_LENGTH);

	private EventLine(String start) {
		this.text.append(start);
	}

	/**
	 * Starts the line of an event.
	 * @param event the event
	 * @return the line
	 */
	public static EventLine of(LogEvent event) {
		EventLine line = new EventLine("event=");
		line.text.append(event.label());
		return line;
	}

	/**
	 * Continues a line.
	 * @param line the line, without a line break
	 * @return the line
	 */
	public static EventLine continuing(String line) {
		return new EventLine(line);
	}

	/**
	 * Appends a field.
	 * @param name name of the field
	 * @param value value of the field
	 * @return this line
	 */
	public EventLine field(Object name, Object value) {
		this.text.append(' ').append(name).append('=');
		appendValue(String.valueOf(value));
		return this;
	}

	/**
	 * Appends the number of lines that were dropped since the last one, if there are any.
	 * @param droppedLines number of dropped lines
	 * @return this line
	 */
	public EventLine leftOut(int droppedLines) {
		return (droppedLines > 0) ? field("left-out", droppedLines) : this;
	}

	private void appendValue(String value) {
		if (!value.isEmpty() && value.chars().noneMatch((c) -> c <= ' ' || c == '"' || c == '=' || isLineBreak(c))) {
			this.text.append(value);
			return;
		}
		this.text.append('"');
		value.chars().forEach((c) -> this.text.append((c == '"') ? '\'' : isLineBreak(c) ? ' ' : (char) c));
		this.text.append('"');
	}

	// Control characters and the line and paragraph separators of Unicode.
	private static boolean isLineBreak(int c) {
		return Character.isISOControl(c) || c == '\u2028' || c == '\u2029';
	}

	@Override
	public String toString() {
		return this.text.toString();
	}

}
