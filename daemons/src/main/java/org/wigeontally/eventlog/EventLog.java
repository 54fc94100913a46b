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

	/** Name of the logger of all events. */
	public static final String LOGGER_NAME = "wigeontally";

	private static final Logger logger = LoggerFactory.getLogger(LOGGER_NAME);

	private final Clock clock;

	private final String host;

	private final Map<LogEvent, LineRateLimit> limits = new EnumMap<>(LogEvent.class);

	private EventLog(Clock clock, String host) {
		this.clock = clock;
		this.host = host;
		for (LogEvent event : LogEvent.values()) {
			this.limits.put(event, new LineRateLimit());
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
		int droppedBefore = this.limits.get(event).admit(this.clock.monotonicMs(), event.linesPerSecond());
		if (droppedBefore < 0) {
			return;
		}
		EventLine line = EventLine.of(event).field("host", this.host);
		for (int i = 0; i + 1 < fields.length; i += 2) {
			line.field(fields[i], fields[i + 1]);
		}
		logger.info(line.leftOut(droppedBefore).toString());
	}

}
