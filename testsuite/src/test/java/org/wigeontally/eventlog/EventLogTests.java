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
 * Lines of events and the bound on their number.
 */
public class EventLogTests {

	private final ListAppender<ILoggingEvent> lines = new ListAppender<>();

	@BeforeMethod
	public void start() {
		this.lines.list.clear();
		this.lines.start();
		((Logger) LoggerFactory.getLogger("wigeontally")).addAppender(this.lines);
	}

	@AfterMethod(alwaysRun = true)
	public void stop() {
		((Logger) LoggerFactory.getLogger("wigeontally")).detachAppender(this.lines);
	}

	@Test
	public void valuesThatNeedItAreQuotedAndStayOnTheirLine() {
		EventLog log = EventLog.create(ManualClock.startingAt(0), "h1");
		log.write(LogEvent.REQUEST_REFUSED, "id", "a1", "reason", "two words\nand \"more\"", "empty", "");
		assertThat(text())
			.containsExactly("event=request-refused host=h1 id=a1 reason=\"two words and 'more'\" empty=\"\"");
	}

	/** Three times the peak of requests writes no more lines than the budget. */
	@Test
	public void linesOfASecondAreBoundedAndWhatIsLeftOutIsCounted() {
		ManualClock clock = ManualClock.startingAt(0);
		EventLog log = EventLog.create(clock, "h1");
		for (int i = 0; i < 1_000; i++) {
			log.write(LogEvent.REQUEST_DONE, "id", i);
		}
		assertThat(text()).hasSize(LogEvent.REQUEST_DONE.linesPerSecond());
		clock.advance(1_000);
		log.write(LogEvent.REQUEST_DONE, "id", "next");
		assertThat(text().get(text().size() - 1))
			.endsWith("left-out=" + (1_000 - LogEvent.REQUEST_DONE.linesPerSecond()));
	}

	private List<String> text() {
		return this.lines.list.stream().map(ILoggingEvent::getFormattedMessage).toList();
	}

}
