package org.wigeontally.tool;

import java.util.function.Consumer;

import org.wigeontally.errors.InputException;
import org.wigeontally.eventlog.EventLog;
import org.wigeontally.eventlog.LogEvent;
import org.wigeontally.schema.generated.HostSettings;

/**
 * Reads the settings of a running process again and applies them. Whatever goes wrong is
 * logged, and the settings stay as they are: neither the thread of a signal nor the one
 * that watches the file has anyone else to tell. Thread-safe.
 */
final class SettingsReload implements Runnable {

	private static final long POLL_INTERVAL_MS = 2_000;

	private final SettingsFile file;

	private final Consumer<HostSettings> target;

	private final EventLog log;

	private SettingsReload(SettingsFile file, Consumer<HostSettings> target, EventLog log) {
		this.file = file;
		this.target = target;
		this.log = log;
	}

	/**
	 * Creates the reload of a process.
	 * @param file the file, which has been read
	 * @param target applies the settings
	 * @param log the log of events
	 * @return the reload
	 */
	static SettingsReload of(SettingsFile file, Consumer<HostSettings> target, EventLog log) {
		return new SettingsReload(file, target, log);
	}

	@Override
	public synchronized void run() {
		try {
			this.target.accept(this.file.read());
		}
		catch (InputException ex) {
			this.log.write(LogEvent.RELOAD, "outcome", "refused", "reason", ex.getMessage());
		}
		catch (RuntimeException | StackOverflowError ex) {
			this.log.write(LogEvent.FAULT, "step", "reload", "reason", ex);
		}
	}

	/**
	 * Runs whenever the file changes, on a thread of its own.
	 */
	void watch() {
		Thread watcher = new Thread(this::runAtChanges, "settings-watcher");
		watcher.setDaemon(true);
		watcher.start();
	}

	private void runAtChanges() {
		while (true) {
			try {
				Thread.sleep(POLL_INTERVAL_MS);
			}
			catch (InterruptedException ex) {
				return;
			}
			if (this.file.isChanged()) {
				run();
			}
		}
	}

}
