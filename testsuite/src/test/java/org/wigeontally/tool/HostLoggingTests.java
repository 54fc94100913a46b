package org.wigeontally.tool;

import java.io.IOException;
import java.io.OutputStream;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;

import ch.qos.logback.classic.LoggerContext;
import ch.qos.logback.classic.spi.ILoggingEvent;
import ch.qos.logback.classic.util.LogbackMDCAdapter;
import ch.qos.logback.core.OutputStreamAppender;
import org.testng.annotations.Test;

import org.wigeontally.misc.Clock;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against threads that block in the logger because standard output is no longer
 * read.
 */
public class HostLoggingTests {

	private static final int LINE_COUNT = 20_000;

	@Test
	public void blockedOutputDoesNotBlockTheLoggingThread() throws Exception {
		CountDownLatch outputReleased = new CountDownLatch(1);
		AtomicBoolean writeStarted = new AtomicBoolean();
		OutputStreamAppender<ILoggingEvent> blockedAppender = new OutputStreamAppender<>();
		blockedAppender.setOutputStream(new OutputStream() {

			@Override
			public void write(int one) throws IOException {
				writeStarted.set(true);
				try {
					outputReleased.await();
				}
				catch (InterruptedException ex) {
					throw new IOException(ex);
				}
			}

		});
		LoggerContext context = new LoggerContext();
		context.setMDCAdapter(new LogbackMDCAdapter());
		HostLogging.attachAppender(context, blockedAppender, Clock.system());
		Thread writer = new Thread(() -> {
			for (int i = 0; i < LINE_COUNT; i++) {
				context.getLogger("wigeontally").info("event=test number={}", i);
			}
		});
		writer.start();
		writer.join(TimeUnit.SECONDS.toMillis(5));
		assertThat(writer.isAlive()).isFalse();
		assertThat(writeStarted.get()).isTrue();
		outputReleased.countDown();
		context.stop();
	}

}
