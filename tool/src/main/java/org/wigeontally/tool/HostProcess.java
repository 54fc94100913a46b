package org.wigeontally.tool;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.attribute.FileTime;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.ExecutionException;
import java.util.function.Consumer;
import java.util.function.Supplier;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.VertxOptions;
import io.vertx.core.file.FileSystemOptions;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import sun.misc.Signal;

import org.wigeontally.errors.InputException;
import org.wigeontally.eventlog.EventLog;
import org.wigeontally.gateway.GatewayDaemon;
import org.wigeontally.misc.Clock;
import org.wigeontally.schema.generated.HostSettings;
import org.wigeontally.settings.HostSettingsValidator;
import org.wigeontally.settings.SettingsReader;
import org.wigeontally.sidecar.SidecarDaemon;

/**
 * Main class of the processes on the platform's hosts. It starts faster than the command
 * line, since it loads no operators' commands.
 */
public final class HostProcess {

	private static final Logger logger = LoggerFactory.getLogger("wigeontally");

	private static final String SETTINGS_VARIABLE = "WIGEONTALLY_CONFIG";

	private static final long SETTINGS_CHECK_MS = 2_000;

	private HostProcess() {
	}

	/**
	 * Runs a process until it is asked to end.
	 * @param args the role, entry or agent
	 */
	public static void main(String[] args) {
		if (args.length == 1 && args[0].equals(ClassArchive.COMMAND)) {
			System.exit(ClassArchive.run());
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
		System.exit(run(args[0].equals("entry"), Path.of(file)));
	}

	private static int run(boolean entry, Path file) {
		HostSettings settings;
		try {
			settings = read(file, entry);
		}
		catch (InputException ex) {
			System.err.println(ex.getMessage());
			return ExitCode.BAD_INPUT;
		}
		Vertx vertx = vertx();
		EventLog log = EventLog.create(Clock.system(), settings.getHost());
		try {
			return entry ? runEntry(vertx, settings, log, file) : runAgent(vertx, settings, log, file);
		}
		catch (ExecutionException ex) {
			System.err.println("wigeontally: cannot start: " + ex.getCause().getMessage());
			return ExitCode.REFUSED;
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
			return ExitCode.REFUSED;
		}
	}

	// One event loop: all decisions of a process are made on one thread.
	static Vertx vertx() {
		return Vertx.vertx(new VertxOptions().setEventLoopPoolSize(1)
			.setWorkerPoolSize(1)
			.setInternalBlockingPoolSize(1)
			.setPreferNativeTransport(false)
			.setFileSystemOptions(
					new FileSystemOptions().setFileCachingEnabled(false).setClassPathResolvingEnabled(false)));
	}

	private static HostSettings read(Path file, boolean entry) throws InputException {
		return SettingsReader.readFile(file, HostSettings.newBuilder(), HostSettingsValidator.create(entry)).build();
	}

	private static int runEntry(Vertx vertx, HostSettings settings, EventLog log, Path file)
			throws ExecutionException, InterruptedException {
		GatewayDaemon daemon = await(GatewayDaemon.start(vertx, settings, Clock.system(), log));
		watchSettings(file, true, daemon::reload);
		return awaitEnd(daemon::drain);
	}

	private static int runAgent(Vertx vertx, HostSettings settings, EventLog log, Path file)
			throws ExecutionException, InterruptedException {
		SidecarDaemon daemon = await(SidecarDaemon.start(vertx, settings, Clock.system(), log));
		watchSettings(file, false, daemon::reload);
		return awaitEnd(daemon::drain);
	}

	private static <T> T await(Future<T> future) throws ExecutionException, InterruptedException {
		return future.toCompletionStage().toCompletableFuture().get();
	}

	// Settings are read again on SIGHUP and also when the file changes without a signal.
	private static void watchSettings(Path file, boolean entry, Consumer<HostSettings> reload) {
		Runnable read = () -> {
			try {
				reload.accept(read(file, entry));
			}
			catch (InputException ex) {
				logger.warn("event=reload outcome=refused reason=\"{}\"", ex.getMessage().replace('\n', ' '));
			}
		};
		Signal.handle(new Signal("HUP"), (signal) -> read.run());
		Thread watcher = new Thread(() -> {
			FileTime last = modified(file);
			while (true) {
				try {
					Thread.sleep(SETTINGS_CHECK_MS);
				}
				catch (InterruptedException ex) {
					return;
				}
				FileTime now = modified(file);
				if (now != null && !now.equals(last)) {
					last = now;
					read.run();
				}
			}
		}, "settings-watcher");
		watcher.setDaemon(true);
		watcher.start();
	}

	private static FileTime modified(Path file) {
		try {
			return Files.getLastModifiedTime(file);
		}
		catch (IOException ex) {
			// While the file is being replaced there may be none; the next look finds it.
			return null;
		}
	}

	private static int awaitEnd(Supplier<Future<Integer>> drain) throws InterruptedException {
		CountDownLatch ended = new CountDownLatch(1);
		CountDownLatch asked = new CountDownLatch(1);
		Signal.handle(new Signal("TERM"), (signal) -> {
			if (asked.getCount() > 0) {
				asked.countDown();
				drain.get().onComplete((done) -> ended.countDown());
			}
		});
		ended.await();
		return ExitCode.DONE;
	}

}
