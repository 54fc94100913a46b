package org.wigeontally.eventlog;

import java.util.EnumMap;
import java.util.Map;

import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

import org.wigeontally.misc.Clock;

/**
 * Writes events as lines of {@code key=value}. Each event has a limit of lines per
 * second; lines above it are dropped, and their number is written with the next line of
 * the event. Never blocks: the appender drops lines when standard output is not read.
 * Thread-safe.
 */
public final class EventLog {

	private static final Logger logger = LoggerFactory.getLogger("wigeontally");

	private static final long SECOND_MS = 1_000;

	private final Clock clock;

	private final String host;

	private final Map<LogEvent, RateLimitWindow> windows = new EnumMap<>(LogEvent.class);

	private EventLog(Clock clock, String host) {
		this.clock = clock;
		this.host = host;
		for (LogEvent event : LogEvent.values()) {
			this.windows.put(event, new RateLimitWindow());
		}
	}

	/**
	 * Creates the log of a process.
	 * @param clock source of time
	 * @param host name of the host, written on each line
	 * @return the log
	 */
	public static EventLog create(Clock clock, String host) {
		return new EventLog(clock, host);
	}

	/**
	 * Writes an event.
	 * @param event the event
	 * @param fields alternating names and values
	 */
	public void write(LogEvent event, Object... fields) {
		int droppedBefore = this.windows.get(event).admit(this.clock.monotonicMs(), event.linesPerSecond());
		if (droppedBefore < 0) {
			return;
		}
		StringBuilder line = new StringBuilder(160);
		line.append("event=").append(event.label()).append(" host=").append(this.host);
		for (int i = 0; i + 1 < fields.length; i += 2) {
			line.append(' ').append(fields[i]).append('=');
			appendValue(line, String.valueOf(fields[i + 1]));
		}
		if (droppedBefore > 0) {
			line.append(" left-out=").append(droppedBefore);
		}
		logger.info(line.toString());
	}

	private static void appendValue(StringBuilder line, String value) {
		if (value.isEmpty() || value.chars().anyMatch((c) -> c <= ' ' || c == '"' || c == '=')) {
			line.append('"').append(value.replace('"', '\'').replace('\n', ' ').replace('\r', ' ')).append('"');
		}
		else {
			line.append(value);
		}
	}

	private static final class RateLimitWindow {

		private long startMs = Long.MIN_VALUE / 2;

		private int lines;

		private int droppedLines;

		// Returns the number of lines dropped since the last one, or -1 if this line
		// is to be dropped.
		private synchronized int admit(long nowMs, int limit) {
			if (nowMs - this.startMs >= SECOND_MS) {
				this.startMs = nowMs;
				this.lines = 0;
			}
			if (this.lines >= limit) {
				this.droppedLines++;
				return -1;
			}
			this.lines++;
			int droppedBefore = this.droppedLines;
			this.droppedLines = 0;
			return droppedBefore;
		}

	}

}
