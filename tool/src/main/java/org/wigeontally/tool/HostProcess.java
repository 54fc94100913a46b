package org.wigeontally.tool;

import java.nio.file.Path;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.ExecutionException;
import java.util.function.Consumer;
import java.util.function.Supplier;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.VertxOptions;
import io.vertx.core.file.FileSystemOptions;

import org.wigeontally.errors.InputException;
import org.wigeontally.eventlog.EventLog;
import org.wigeontally.eventlog.LogEvent;
import org.wigeontally.gateway.GatewayDaemon;
import org.wigeontally.misc.Clock;
import org.wigeontally.schema.generated.HostSettings;
import org.wigeontally.sidecar.SidecarDaemon;

/**
 * Main class of the processes on the platform's hosts. It starts faster than
 * {@link Wigeontally} because it does not load the operators' commands.
 */
public final class HostProcess {

	private static final String SETTINGS_VARIABLE = "WIGEONTALLY_CONFIG";

	/** Readings of the settings before a start fails; they take a second together. */
	private static final int MAX_READINGS_AT_START = 6;

	private static final long READING_INTERVAL_MS = 200;

	/**
	 * Switches off the flight recorder events of the buffer allocator. Registering them
	 * generates classes at each start, 90 ms of processor time, and nobody records them.
	 */
	private static final String ALLOCATOR_EVENTS_PROPERTY = "io.netty.jfr.enabled";

	private HostProcess() {
	}

	/**
	 * Runs a process until SIGTERM, and drains it before it exits.
	 * @param args the role, entry or agent, or the command of {@link ClassArchiveTrainer}
	 */
	public static void main(String[] args) {
		System.setProperty(ALLOCATOR_EVENTS_PROPERTY, "false");
		ProcessSignals signals = ProcessSignals.install();
		if (args.length == 1 && args[0].equals(ClassArchiveTrainer.COMMAND)) {
			System.exit(ClassArchiveTrainer.run());
		}
		if (args.length != 1 || !(args[0].equals("entry") || args[0].equals("agent"))) {
			System.err.println("usage: HostProcess entry|agent, with the settings file in " + SETTINGS_VARIABLE);
			System.exit(ExitCode.BAD_INPUT);
		}
		String file = System.getenv(SETTINGS_VARIABLE);
		if (file == null) {
			System.err.println("wigeontally: " + SETTINGS_VARIABLE + " does not name a settings file");
			System.exit(ExitCode.BAD_INPUT);
		}
		boolean isEntry = args[0].equals("entry");
		System.exit(run(isEntry, SettingsFile.of(Path.of(file), isEntry), signals));
	}

	private static int run(boolean isEntry, SettingsFile file, ProcessSignals signals) {
		HostSettings settings;
		try {
			settings = readAtStart(file);
		}
		catch (InputException ex) {
			System.err.println(ex.getMessage());
			return ExitCode.BAD_INPUT;
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
			return ExitCode.FAILURE;
		}
		Vertx vertx = createVertx();
		EventLog log = EventLog.create(Clock.system(), settings.getHost());
		if (signals.isTerminationPending()) {
			log.write(LogEvent.STOP, "phase", "ended", "started", false);
			return ExitCode.SUCCESS;
		}
		try {
			return isEntry ? runEntry(vertx, settings, log, file, signals)
					: runAgent(vertx, settings, log, file, signals);
		}
		catch (ExecutionException ex) {
			System.err.println("wigeontally: cannot start: " + ex.getCause().getMessage());
			return ExitCode.FAILURE;
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
			return ExitCode.FAILURE;
		}
	}

	// A file with faults may be one that is still being written.
	private static HostSettings readAtStart(SettingsFile file) throws InputException, InterruptedException {
		for (int reading = 1; reading < MAX_READINGS_AT_START; reading++) {
			try {
				return file.read();
			}
			catch (InputException ex) {
				System.err.println("wigeontally: reading again: " + ex.getMessage());
				Thread.sleep(READING_INTERVAL_MS);
			}
		}
		return file.read();
	}

	// A single event loop, because all decisions of a process are made on one thread.
	static Vertx createVertx() {
		return Vertx.vertx(new VertxOptions().setEventLoopPoolSize(1)
			.setWorkerPoolSize(1)
			.setInternalBlockingPoolSize(1)
			.setPreferNativeTransport(false)
			.setFileSystemOptions(
					new FileSystemOptions().setFileCachingEnabled(false).setClassPathResolvingEnabled(false)));
	}

	private static int runEntry(Vertx vertx, HostSettings settings, EventLog log, SettingsFile file,
			ProcessSignals signals) throws ExecutionException, InterruptedException {
		GatewayDaemon daemon = await(GatewayDaemon.start(vertx, settings, Clock.system(), log));
		watchSettings(file, log, signals, daemon::reload);
		return drainOnTermination(log, signals, daemon::drain);
	}

	private static int runAgent(Vertx vertx, HostSettings settings, EventLog log, SettingsFile file,
			ProcessSignals signals) throws ExecutionException, InterruptedException {
		SidecarDaemon daemon = await(SidecarDaemon.start(vertx, settings, Clock.system(), log));
		watchSettings(file, log, signals, daemon::reload);
		return drainOnTermination(log, signals, daemon::drain);
	}

	private static <T> T await(Future<T> future) throws ExecutionException, InterruptedException {
		return future.toCompletionStage().toCompletableFuture().get();
	}

	// Reloads the settings on SIGHUP and when the file changes.
	private static void watchSettings(SettingsFile file, EventLog log, ProcessSignals signals,
			Consumer<HostSettings> target) {
		SettingsReload reload = SettingsReload.of(file, target, log);
		signals.onHangup(() -> {
			log.write(LogEvent.SIGNAL, "name", "HUP");
			reload.run();
		});
		reload.watch();
	}

	// Drains on the first SIGTERM and ignores further ones.
	private static int drainOnTermination(EventLog log, ProcessSignals signals, Supplier<Future<Integer>> drain)
			throws InterruptedException {
		CountDownLatch drained = new CountDownLatch(1);
		CountDownLatch terminationRequested = new CountDownLatch(1);
		signals.onTermination(() -> {
			log.write(LogEvent.SIGNAL, "name", "TERM", "first", terminationRequested.getCount() > 0);
			if (terminationRequested.getCount() > 0) {
				terminationRequested.countDown();
				drain.get().onComplete((done) -> drained.countDown());
			}
		});
		drained.await();
		return ExitCode.SUCCESS;
	}

}
