package org.wigeontally.tool;

import java.nio.file.Path;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.function.Supplier;

import io.vertx.core.Future;
import io.vertx.core.Vertx;

import org.wigeontally.agent.AgentDaemon;
import org.wigeontally.entry.EntryDaemon;
import org.wigeontally.errors.InputException;
import org.wigeontally.errors.WigeontallyException;
import org.wigeontally.misc.Clock;
import org.wigeontally.schema.generated.AgentSettings;
import org.wigeontally.schema.generated.EntrySettings;
import org.wigeontally.settings.AgentSettingsValidator;
import org.wigeontally.settings.EntrySettingsValidator;
import org.wigeontally.settings.SettingsDefaults;
import org.wigeontally.settings.SettingsReader;

/**
 * Runs an entry or agent daemon until the process is terminated. A shutdown hook drains
 * the daemon before the process exits.
 */
final class DaemonCommand implements Command {

	/**
	 * Time for which a termination waits for the start. A daemon whose platform does not
	 * answer never ends its start.
	 */
	private static final long START_WAIT_MS = 3_000;

	private final Console console;

	private final boolean isEntry;

	DaemonCommand(Console console, boolean isEntry) {
		this.console = console;
		this.isEntry = isEntry;
	}

	@Override
	public String name() {
		return this.isEntry ? "entry" : "agent";
	}

	@Override
	public String description() {
		return this.isEntry ? "Run the process of an entry host" : "Run the process of a backend server host";
	}

	@Override
	public int run() throws WigeontallyException {
		Path settingsFile = this.console.options().settingsFile();
		Vertx vertx = Vertx.vertx();
		Future<Supplier<Future<Integer>>> started = this.isEntry ? startEntry(vertx, settingsFile)
				: startAgent(vertx, settingsFile);
		// Added before the daemon listens, so that a signal meanwhile cuts no request.
		Runtime.getRuntime().addShutdownHook(new Thread(() -> drainAndWait(started)));
		try {
			started.toCompletionStage().toCompletableFuture().get();
			new CountDownLatch(1).await();
		}
		catch (ExecutionException ex) {
			this.console.err().println("wigeontally: cannot start: " + ex.getCause().getMessage());
			vertx.close();
			return ExitCode.FAILURE;
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
		return ExitCode.SUCCESS;
	}

	private void drainAndWait(Future<Supplier<Future<Integer>>> started) {
		if (started.failed()) {
			return;
		}
		try {
			Supplier<Future<Integer>> drain = started.toCompletionStage()
				.toCompletableFuture()
				.get(START_WAIT_MS, TimeUnit.MILLISECONDS);
			drain.get().toCompletionStage().toCompletableFuture().get();
		}
		catch (ExecutionException | TimeoutException ex) {
			this.console.err().println("wigeontally: ended without being drained: " + ex);
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
	}

	private static Future<Supplier<Future<Integer>>> startEntry(Vertx vertx, Path settingsFile) throws InputException {
		EntrySettings.Builder settings = SettingsReader.readFile(settingsFile, EntrySettings.newBuilder(),
				EntrySettingsValidator.create());
		SettingsDefaults.apply(settings);
		return EntryDaemon.start(vertx, settings.build(), Clock.system()).map((daemon) -> daemon::drain);
	}

	private static Future<Supplier<Future<Integer>>> startAgent(Vertx vertx, Path settingsFile) throws InputException {
		AgentSettings.Builder settings = SettingsReader.readFile(settingsFile, AgentSettings.newBuilder(),
				AgentSettingsValidator.create());
		SettingsDefaults.apply(settings);
		return AgentDaemon.start(vertx, settings.build(), Clock.system()).map((daemon) -> daemon::drain);
	}

}
