package org.wigeontally.tool;

import ch.qos.logback.classic.Level;
import ch.qos.logback.classic.Logger;
import ch.qos.logback.classic.LoggerContext;
import ch.qos.logback.classic.encoder.PatternLayoutEncoder;
import ch.qos.logback.classic.spi.Configurator;
import ch.qos.logback.classic.spi.ILoggingEvent;
import ch.qos.logback.core.ConsoleAppender;
import ch.qos.logback.core.OutputStreamAppender;
import ch.qos.logback.core.spi.ContextAwareBase;

import org.wigeontally.misc.Clock;

/**
 * Configures the log of the processes on the platform's hosts. Logback loads this class
 * as a service provider. Without the system property {@value #LOG_PROPERTY}, programs use
 * their Logback configuration files. The log is configured in code because reading a
 * configuration file takes a quarter of the processor time of a process start.
 */
public final class HostLogging extends ContextAwareBase implements Configurator {

	/** System property that selects this configuration. */
	static final String LOG_PROPERTY = "wigeontally.log";

	/** Value of the property that selects this configuration. */
	static final String HOST_LOG = "host";

	private static final String PATTERN = "time=%d{yyyy-MM-dd'T'HH:mm:ss.SSS} level=%level %msg%n%nopex";

	/**
	 * Maximum number of lines that wait to be written to standard output. They take about
	 * 400 KB, which counts towards the memory limit of the process.
	 */
	private static final int QUEUE_CAPACITY_LINES = 2_048;

	@Override
	public ExecutionStatus configure(LoggerContext context) {
		if (!HOST_LOG.equals(System.getProperty(LOG_PROPERTY))) {
			return ExecutionStatus.INVOKE_NEXT_IF_ANY;
		}
		attachAppender(context, new ConsoleAppender<>(), Clock.system());
		return ExecutionStatus.DO_NOT_INVOKE_NEXT_IF_ANY;
	}

	/**
	 * Sends all lines to an appender through a queue. Threads that log never block; lines
	 * are dropped if the queue is full.
	 * @param context logger context to configure
	 * @param appender appender that may block
	 * @param clock source of time for the limits on lines
	 */
	static void attachAppender(LoggerContext context, OutputStreamAppender<ILoggingEvent> appender, Clock clock) {
		PatternLayoutEncoder encoder = new PatternLayoutEncoder();
		encoder.setContext(context);
		encoder.setPattern(PATTERN);
		encoder.start();
		appender.setContext(context);
		appender.setEncoder(encoder);
		appender.start();
		EventLineQueue queue = new EventLineQueue(clock);
		queue.setContext(context);
		queue.setQueueSize(QUEUE_CAPACITY_LINES);
		queue.setDiscardingThreshold(0);
		// Drops lines instead of blocking if standard output is not read.
		queue.setNeverBlock(true);
		queue.addAppender(appender);
		queue.start();
		Logger root = context.getLogger(org.slf4j.Logger.ROOT_LOGGER_NAME);
		root.setLevel(Level.INFO);
		root.addAppender(queue);
		context.getLogger("io.netty").setLevel(Level.ERROR);
		context.getLogger("io.vertx").setLevel(Level.ERROR);
	}

}
