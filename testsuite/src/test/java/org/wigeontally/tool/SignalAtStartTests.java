package org.wigeontally.tool;

import java.io.IOException;
import java.net.Socket;
import java.util.List;
import java.util.concurrent.TimeUnit;

import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

import org.wigeontally.gateway.EntryProcess;
import org.wigeontally.gateway.GatewayFixture;
import org.wigeontally.schema.generated.Address;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Signals that reach an entry while it starts. The log of loaded classes tells how far it
 * is.
 */
public class SignalAtStartTests {

	/** Loaded when the process reads its settings, before it listens. */
	private static final String SETTINGS_ARE_READ = "org.wigeontally.settings.SettingsReader";

	private static final int HANGUPS = 20;

	private static final long HANGUP_INTERVAL_MS = 50;

	private static final int READ_TIMEOUT_MS = 5_000;

	private GatewayFixture fixture;

	private LoadedClasses classes;

	private EntryProcess entry;

	@BeforeMethod
	public void start() throws Exception {
		this.fixture = new GatewayFixture();
		this.classes = LoadedClasses.createLog();
		this.entry = EntryProcess.start(this.fixture.store().port(), List.of(this.classes.jvmOption()));
	}

	@AfterMethod(alwaysRun = true)
	public void stop() throws Exception {
		this.entry.close();
		this.fixture.close();
		this.classes.close();
	}

	/**
	 * Guards against a process that ends because its settings changed during its start.
	 */
	@Test
	public void hangupsWhileTheProcessStartsDoNotEndIt() throws Exception {
		this.classes.await(SETTINGS_ARE_READ);
		for (int i = 0; i < HANGUPS; i++) {
			this.entry.signal("HUP");
			Thread.sleep(HANGUP_INTERVAL_MS);
		}
		assertThat(this.entry.process().isAlive()).isTrue();
		GatewayFixture.awaitTrue(() -> answers(this.entry.front()));
	}

	/** Guards against a process that waits for callers that it never had. */
	@Test
	public void terminationBeforeTheProcessListensEndsItInOrder() throws Exception {
		this.classes.await(SETTINGS_ARE_READ);
		this.entry.signal("TERM");
		assertThat(this.entry.process().waitFor(READ_TIMEOUT_MS, TimeUnit.MILLISECONDS)).isTrue();
		assertThat(this.entry.process().exitValue()).isZero();
	}

	/** Guards against a termination that cuts the first requests of a process. */
	@Test
	public void requestIsAnsweredThoughTheProcessIsTerminatedAsSoonAsItListens() throws Exception {
		try (Socket caller = connect(this.entry.front())) {
			this.entry.signal("TERM");
			assertThat(isAnswered(caller)).isTrue();
		}
	}

	private static boolean answers(Address front) {
		try (Socket caller = new Socket(front.getIp(), front.getPort())) {
			return isAnswered(caller);
		}
		catch (IOException ex) {
			// The process does not listen yet.
			return false;
		}
	}

	private static boolean isAnswered(Socket caller) throws IOException {
		caller.setSoTimeout(READ_TIMEOUT_MS);
		caller.getOutputStream().write("GET /plain/x HTTP/1.1\r\nHost: h.example\r\n\r\n".getBytes());
		return caller.getInputStream().read() == 'H';
	}

	private static Socket connect(Address front) throws IOException {
		long deadlineNs = System.nanoTime() + TimeUnit.SECONDS.toNanos(10);
		while (System.nanoTime() < deadlineNs) {
			try {
				return new Socket(front.getIp(), front.getPort());
			}
			catch (IOException ex) {
				// The process does not listen yet.
				Thread.onSpinWait();
			}
		}
		throw new IOException("the process does not listen");
	}

}
