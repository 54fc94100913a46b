package org.wigeontally.tool;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.regex.Pattern;

import ch.qos.logback.classic.LoggerContext;
import ch.qos.logback.classic.spi.ILoggingEvent;
import ch.qos.logback.classic.util.LogbackMDCAdapter;
import ch.qos.logback.core.OutputStreamAppender;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

import org.wigeontally.misc.ManualClock;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against lines of libraries that have no event, take several lines or have no
 * limit on their number.
 */
public class LibraryLogTests {

	private static final int BURST = 1_000;

	private static final int MAX_LINES_PER_SECOND = 5;

	private static final int MAX_LINE_CHARACTERS = 2_000;

	private static final String LIBRARY_LOGGER = "io.vertx.core.http.impl.VertxHttp2ConnectionHandler";

	private static final Pattern LINE = Pattern.compile("time=\\S+ level=[A-Z]+( [a-z-]+=(\"[^\"]*\"|[^ \"=]+))+");

	private ManualClock clock;

	private LoggerContext context;

	private ByteArrayOutputStream output;

	@BeforeMethod
	public void start() {
		this.clock = ManualClock.startingAt(0);
		this.output = new ByteArrayOutputStream();
		OutputStreamAppender<ILoggingEvent> appender = new OutputStreamAppender<>();
		appender.setOutputStream(this.output);
		this.context = new LoggerContext();
		this.context.setMDCAdapter(new LogbackMDCAdapter());
		HostLogging.attachAppender(this.context, appender, this.clock);
	}

	/** As 181 traces in 8 s, when peers closed streams on which responses waited. */
	@Test
	public void burstOfLibraryErrorsIsBoundedAndCounted() {
		for (int i = 0; i < BURST; i++) {
			logFault(LIBRARY_LOGGER, "Caught Throwable from listener onStreamClosed.", new NullPointerException("x"));
		}
		this.clock.advance(1_000);
		logFault(LIBRARY_LOGGER, "last", new NullPointerException("x"));
		List<LogLine> lines = stopAndReadLines();
		assertThat(lines).hasSize(MAX_LINES_PER_SECOND + 1);
		assertThat(lines).allSatisfy((line) -> {
			assertThat(line.field("level")).isEqualTo("ERROR");
			assertThat(line.field("event")).isEqualTo("library-fault");
			assertThat(line.field("logger")).isEqualTo(LIBRARY_LOGGER);
			assertThat(line.field("exception")).isEqualTo("java.lang.NullPointerException: x");
			assertThat(line.field("at")).startsWith(LibraryLogTests.class.getName());
		});
		assertThat(lines.get(0).field("message")).isEqualTo("Caught Throwable from listener onStreamClosed.");
		assertThat(lines.get(lines.size() - 1).field("left-out")).isEqualTo("" + (BURST - MAX_LINES_PER_SECOND));
	}

	/** A library that logs without end must not hide the faults of another one. */
	@Test
	public void eachLoggerHasItsOwnLimit() {
		for (int i = 0; i < BURST; i++) {
			logFault(LIBRARY_LOGGER, "burst", null);
		}
		logFault("io.netty.util.ResourceLeakDetector", "LEAK", null);
		List<LogLine> lines = stopAndReadLines();
		assertThat(lines.get(lines.size() - 1).field("message")).isEqualTo("LEAK");
		assertThat(lines.get(lines.size() - 1).field("left-out")).isEmpty();
	}

	@Test
	public void libraryLineIsOneBoundedLineWhateverItsText() {
		String text = "a \"quoted\" text = 1\r\n\tat next\u2028line\u0085" + "long ".repeat(10_000);
		logFault(LIBRARY_LOGGER, text, new IllegalStateException(text, new IllegalArgumentException(text)));
		List<LogLine> lines = stopAndReadLines();
		assertThat(lines).hasSize(1);
		assertThat(lines.get(0).field("message")).startsWith("a 'quoted' text = 1");
		assertThat(lines.get(0).field("exception")).startsWith("java.lang.IllegalStateException: a 'quoted'");
		assertThat(lines.get(0).field("cause")).startsWith("java.lang.IllegalArgumentException: a 'quoted'");
	}

	/**
	 * The fault of a handler is found in the project's code, below the library's frames.
	 */
	@Test
	public void faultWithinALibraryNamesTheProjectsFrame() {
		NullPointerException fault = new NullPointerException();
		fault.setStackTrace(new StackTraceElement[] {
				new StackTraceElement("java.util.Objects", "requireNonNull", "Objects.java", 233),
				new StackTraceElement("org.wigeontally.gateway.FleetState", "apply", "FleetState.java", 12),
				new StackTraceElement("io.vertx.core.impl.ContextImpl", "emit", "ContextImpl.java", 1) });
		logFault("io.vertx.core.impl.ContextImpl", "Unhandled exception", fault);
		List<LogLine> lines = stopAndReadLines();
		assertThat(lines).hasSize(1);
		assertThat(lines.get(0).field("exception")).isEqualTo("java.lang.NullPointerException");
		assertThat(lines.get(0).field("at")).isEqualTo("java.util.Objects.requireNonNull:233");
		assertThat(lines.get(0).field("project-at")).isEqualTo("org.wigeontally.gateway.FleetState.apply:12");
	}

	/** The runtime omits the stack trace of an exception that is thrown often. */
	@Test
	public void exceptionWithoutStackTraceHasNoFrame() {
		NullPointerException fault = new NullPointerException();
		fault.setStackTrace(new StackTraceElement[0]);
		logFault(LIBRARY_LOGGER, "fault", fault);
		List<LogLine> lines = stopAndReadLines();
		assertThat(lines).hasSize(1);
		assertThat(lines.get(0).fields()).doesNotContainKey("at");
	}

	@Test
	public void linesOfTheEventLogAreNotLimitedAgainAndKeepTheirException() {
		for (int i = 0; i < BURST; i++) {
			this.context.getLogger("wigeontally").info("event=request-done host=h1 id={}", i);
		}
		this.context.getLogger("wigeontally")
			.warn("event=reload outcome=refused", new IllegalStateException("no\nfile"));
		List<LogLine> lines = stopAndReadLines();
		assertThat(lines).hasSize(BURST + 1);
		assertThat(lines.get(0).format()).endsWith("h1  request-done  id=0");
		LogLine last = lines.get(BURST);
		assertThat(last.field("event")).isEqualTo("reload");
		assertThat(last.field("exception")).isEqualTo("java.lang.IllegalStateException: no file");
		assertThat(last.field("at")).startsWith(LibraryLogTests.class.getName());
	}

	private void logFault(String logger, String message, Throwable fault) {
		this.context.getLogger(logger).error(message, fault);
	}

	private List<LogLine> stopAndReadLines() {
		this.context.stop();
		String text = this.output.toString(StandardCharsets.UTF_8);
		return text.lines().map((line) -> {
			assertThat(line).matches(LINE).hasSizeLessThan(MAX_LINE_CHARACTERS);
			return LogLine.parse(line).orElseThrow();
		}).toList();
	}

}
