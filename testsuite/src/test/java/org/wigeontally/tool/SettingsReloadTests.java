package org.wigeontally.tool;

import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.attribute.FileTime;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicInteger;

import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

import org.wigeontally.emulator.experiment.EntryAddresses;
import org.wigeontally.eventlog.EventLog;
import org.wigeontally.gateway.GatewayFixture;
import org.wigeontally.misc.Clock;
import org.wigeontally.schema.generated.HostSettings;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Changes of a settings file while a process starts and runs.
 */
public class SettingsReloadTests {

	private static final String HOST = "entry-0";

	private static final String RENAMED_HOST = "entry-1";

	private Path path;

	private SettingsFile file;

	private String settings;

	@BeforeMethod
	public void start() throws Exception {
		this.settings = EntryAddresses.free().settings(HOST, List.of(), 1);
		this.path = Files.createTempFile("settings", ".yaml");
		Files.writeString(this.path, this.settings);
		this.file = SettingsFile.of(this.path, true);
		assertThat(this.file.read().getHost()).isEqualTo(HOST);
	}

	@AfterMethod(alwaysRun = true)
	public void stop() throws Exception {
		Files.delete(this.path);
	}

	// The file has another modification time than before, whatever the resolution of the
	// clock.
	private void change(String text, long laterMs) throws Exception {
		FileTime modified = Files.getLastModifiedTime(this.path);
		Files.writeString(this.path, text);
		Files.setLastModifiedTime(this.path, FileTime.fromMillis(modified.toMillis() + laterMs));
	}

	@DataProvider
	public Object[][] failures() {
		return new Object[][] { { new IllegalStateException("unexpected") }, { new StackOverflowError() } };
	}

	/** Guards against a watcher that ends because one reload failed. */
	@Test(dataProvider = "failures")
	public void changeIsAppliedAfterAReloadThatFailed(Throwable failure) throws Exception {
		AtomicInteger reloads = new AtomicInteger();
		List<String> applied = new CopyOnWriteArrayList<>();
		SettingsReload.of(this.file, (changed) -> {
			if (reloads.getAndIncrement() == 0) {
				throwUnchecked(failure);
			}
			applied.add(changed.getHost());
		}, log()).watch();
		change(this.settings, 1_000);
		GatewayFixture.awaitTrue(() -> reloads.get() == 1);
		change(this.settings.replace(HOST, RENAMED_HOST), 2_000);
		GatewayFixture.awaitTrue(() -> applied.equals(List.of(RENAMED_HOST)));
	}

	/** Guards against a change that is missed because the process was still starting. */
	@Test
	public void changeBetweenTheFirstReadingAndTheWatchIsApplied() throws Exception {
		change(this.settings.replace(HOST, RENAMED_HOST), 1_000);
		List<HostSettings> applied = new CopyOnWriteArrayList<>();
		SettingsReload.of(this.file, applied::add, log()).watch();
		GatewayFixture.awaitTrue(() -> !applied.isEmpty());
		assertThat(applied.get(0).getHost()).isEqualTo(RENAMED_HOST);
	}

	private static EventLog log() {
		return EventLog.create(Clock.system(), HOST);
	}

	private static void throwUnchecked(Throwable failure) {
		if (failure instanceof Error error) {
			throw error;
		}
		throw (RuntimeException) failure;
	}

}
