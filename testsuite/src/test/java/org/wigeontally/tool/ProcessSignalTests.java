package org.wigeontally.tool;

import java.io.IOException;
import java.net.Socket;
import java.util.List;
import java.util.concurrent.TimeUnit;

import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

import org.wigeontally.gateway.GatewayFixture;
import org.wigeontally.gateway.ShippedProcess;
import org.wigeontally.schema.generated.Address;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Signals that reach an entry or agent, and changes of its settings file, while it starts
 * and while it drains. The log of loaded classes tells how far a start is.
 */
public class ProcessSignalTests {

	/** Loaded when the process reads its settings, before it listens. */
	private static final String SETTINGS_ARE_READ = "org.wigeontally.settings.SettingsReader";

	private static final int HANGUPS = 20;

	private static final long HANGUP_INTERVAL_MS = 50;

	private static final int READ_TIMEOUT_MS = 5_000;

	private static final double WRITTEN_SHARE = 0.5;

	/** Longer than the writing of a file of this size takes. */
	private static final long WRITING_MS = 300;

	private static final int GRACE_S = 8;

	private GatewayFixture fixture;

	private LoadedClasses classes;

	private ShippedProcess process;

	@BeforeMethod
	public void start() throws Exception {
		this.fixture = new GatewayFixture();
		this.classes = LoadedClasses.createLog();
	}

	private void start(String role, double writtenShare) throws Exception {
		this.process = ShippedProcess.start(role, this.fixture.store().port(), List.of(this.classes.jvmOption()),
				writtenShare);
	}

	@DataProvider
	public Object[][] roles() {
		return new Object[][] { { "entry" }, { "agent" } };
	}

	@AfterMethod(alwaysRun = true)
	public void stop() throws Exception {
		this.process.close();
		this.fixture.close();
		this.classes.close();
	}

	/**
	 * Guards against a process that ends because its settings changed during its start.
	 */
	@Test(dataProvider = "roles")
	public void hangupsWhileTheProcessStartsDoNotEndIt(String role) throws Exception {
		start(role, 1);
		this.classes.await(SETTINGS_ARE_READ);
		for (int i = 0; i < HANGUPS; i++) {
			this.process.signal("HUP");
			Thread.sleep(HANGUP_INTERVAL_MS);
		}
		assertThat(this.process.process().isAlive()).isTrue();
		GatewayFixture.awaitTrue(() -> answers(this.process.listening()));
	}

	/** Guards against a process that waits for callers that it never had. */
	@Test(dataProvider = "roles")
	public void terminationBeforeTheProcessListensEndsItInOrder(String role) throws Exception {
		start(role, 1);
		this.classes.await(SETTINGS_ARE_READ);
		this.process.signal("TERM");
		assertThat(this.process.process().waitFor(READ_TIMEOUT_MS, TimeUnit.MILLISECONDS)).isTrue();
		assertThat(this.process.process().exitValue()).isZero();
	}

	/** Guards against a termination that cuts the first requests of a process. */
	@Test(dataProvider = "roles")
	public void requestIsAnsweredThoughTheProcessIsTerminatedAsSoonAsItListens(String role) throws Exception {
		start(role, 1);
		try (Socket caller = connect(this.process.listening())) {
			this.process.signal("TERM");
			assertThat(isAnswered(caller)).isTrue();
		}
	}

	/**
	 * Guards against a process that ends because its settings are still being written.
	 */
	@Test(dataProvider = "roles")
	public void settingsThatAreBeingWrittenDuringTheStartAreReadWhenTheyAreWhole(String role) throws Exception {
		start(role, WRITTEN_SHARE);
		this.classes.await(SETTINGS_ARE_READ);
		Thread.sleep(WRITING_MS);
		this.process.writeSettings(1);
		GatewayFixture.awaitTrue(() -> answers(this.process.listening()));
	}

	/** Guards against a drain that signals or a half-written file cut short. */
	@Test(dataProvider = "roles")
	public void signalsAndChangesOfTheSettingsDoNotEndADrain(String role) throws Exception {
		start(role, 1);
		GatewayFixture.awaitTrue(() -> answers(this.process.listening()));
		this.process.signal("TERM");
		this.process.disturbUntilGone(GRACE_S);
		assertThat(this.process.process().waitFor(READ_TIMEOUT_MS, TimeUnit.MILLISECONDS)).isTrue();
		assertThat(this.process.process().exitValue()).isZero();
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
