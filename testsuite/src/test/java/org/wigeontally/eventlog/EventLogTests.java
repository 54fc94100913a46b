package org.wigeontally.eventlog;

import java.util.List;

import ch.qos.logback.classic.Logger;
import ch.qos.logback.classic.spi.ILoggingEvent;
import ch.qos.logback.core.read.ListAppender;
import org.slf4j.LoggerFactory;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

import org.wigeontally.misc.ManualClock;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Format of event lines and the limit on their number.
 */
public class EventLogTests {

	private final ListAppender<ILoggingEvent> appender = new ListAppender<>();

	@BeforeMethod
	public void start() {
		this.appender.list.clear();
		this.appender.start();
		((Logger) LoggerFactory.getLogger("wigeontally")).addAppender(this.appender);
	}

	@AfterMethod(alwaysRun = true)
	public void stop() {
		((Logger) LoggerFactory.getLogger("wigeontally")).detachAppender(this.appender);
	}

	@Test
	public void quotesValuesAndKeepsThemOnOneLine() {
		EventLog log = EventLog.create(ManualClock.startingAt(0), "h1");
		log.write(LogEvent.REQUEST_REFUSED, "id", "a1", "reason", "two words\nand \"more\"", "empty", "");
		assertThat(messages())
			.containsExactly("event=request-refused host=h1 id=a1 reason=\"two words and 'more'\" empty=\"\"");
	}

	/** Three times the peak request rate must not write more lines than the limit. */
	@Test
	public void limitsLinesPerSecondAndCountsDroppedLines() {
		ManualClock clock = ManualClock.startingAt(0);
		EventLog log = EventLog.create(clock, "h1");
		for (int i = 0; i < 1_000; i++) {
			log.write(LogEvent.REQUEST_DONE, "id", i);
		}
		assertThat(messages()).hasSize(LogEvent.REQUEST_DONE.linesPerSecond());
		clock.advance(1_000);
		log.write(LogEvent.REQUEST_DONE, "id", "next");
		assertThat(messages().get(messages().size() - 1))
			.endsWith("left-out=" + (1_000 - LogEvent.REQUEST_DONE.linesPerSecond()));
	}

	private List<String> messages() {
		return this.appender.list.stream().map(ILoggingEvent::getFormattedMessage).toList();
	}

}
