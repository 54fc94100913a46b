package org.wigeontally.tool;

import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

import ch.qos.logback.classic.AsyncAppender;
import ch.qos.logback.classic.LoggerContext;
import ch.qos.logback.classic.spi.ILoggingEvent;
import ch.qos.logback.classic.spi.IThrowableProxy;
import ch.qos.logback.classic.spi.LoggingEvent;
import ch.qos.logback.classic.spi.StackTraceElementProxy;

import org.wigeontally.eventlog.EventLine;
import org.wigeontally.eventlog.EventLog;
import org.wigeontally.eventlog.LineRateLimit;
import org.wigeontally.eventlog.LogEvent;
import org.wigeontally.misc.Clock;

/**
 * Queue of lines to standard output. Lines of libraries become lines of one event, and
 * are limited for each logger before they enter the queue, so that they do not displace
 * the project's events.
 */
final class EventLineQueue extends AsyncAppender {

	/** Bounds the length of a line; messages of libraries may contain whole requests. */
	private static final int MAX_TEXT_CHARACTERS = 400;

	private static final String PROJECT_PACKAGES = "org.wigeontally.";

	private final Clock clock;

	private final Map<String, LineRateLimit> limits = new ConcurrentHashMap<>();

	EventLineQueue(Clock clock) {
		this.clock = clock;
	}

	@Override
	protected void append(ILoggingEvent event) {
		boolean isLibraryLine = !event.getLoggerName().equals(EventLog.LOGGER_NAME);
		if (!isLibraryLine && event.getThrowableProxy() == null) {
			super.append(event);
			return;
		}
		EventLine line;
		if (isLibraryLine) {
			int droppedBefore = this.limits.computeIfAbsent(event.getLoggerName(), (name) -> new LineRateLimit())
				.admit(this.clock.monotonicMs(), LogEvent.LIBRARY_FAULT.linesPerSecond());
			if (droppedBefore < 0) {
				return;
			}
			line = EventLine.of(LogEvent.LIBRARY_FAULT)
				.field("logger", event.getLoggerName())
				.field("message", bounded(event.getFormattedMessage()))
				.leftOut(droppedBefore);
		}
		else {
			line = EventLine.continuing(event.getFormattedMessage());
		}
		if (event.getThrowableProxy() != null) {
			appendException(line, event.getThrowableProxy());
		}
		super.append(withMessage(event, line.toString()));
	}

	private static void appendException(EventLine line, IThrowableProxy exception) {
		line.field("exception", describe(exception));
		IThrowableProxy cause = exception;
		while (cause.getCause() != null) {
			cause = cause.getCause();
		}
		if (cause != exception) {
			line.field("cause", describe(cause));
		}
		StackTraceElementProxy[] frames = cause.getStackTraceElementProxyArray();
		if (frames == null || frames.length == 0) {
			return;
		}
		line.field("at", format(frames[0].getStackTraceElement()));
		for (StackTraceElementProxy frame : frames) {
			if (frame.getStackTraceElement().getClassName().startsWith(PROJECT_PACKAGES)) {
				if (frame != frames[0]) {
					line.field("project-at", format(frame.getStackTraceElement()));
				}
				return;
			}
		}
	}

	private static String describe(IThrowableProxy exception) {
		String message = exception.getMessage();
		return bounded((message != null) ? exception.getClassName() + ": " + message : exception.getClassName());
	}

	private static String format(StackTraceElement frame) {
		return bounded(frame.getClassName() + '.' + frame.getMethodName() + ':' + frame.getLineNumber());
	}

	private static String bounded(String text) {
		return (text == null || text.length() <= MAX_TEXT_CHARACTERS) ? text
				: text.substring(0, MAX_TEXT_CHARACTERS) + "...";
	}

	private ILoggingEvent withMessage(ILoggingEvent event, String message) {
		LoggerContext context = (LoggerContext) getContext();
		return new LoggingEvent(EventLineQueue.class.getName(), context.getLogger(event.getLoggerName()),
				event.getLevel(), message, null, null);
	}

}
