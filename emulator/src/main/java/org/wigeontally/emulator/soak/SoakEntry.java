package org.wigeontally.emulator.soak;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;

import org.wigeontally.emulator.experiment.EntryAddresses;
import org.wigeontally.emulator.experiment.ManagedProcess;
import org.wigeontally.schema.generated.Address;
import org.wigeontally.tool.HostProcess;

/**
 * An entry process that can be stopped, killed, paused and started again at the same
 * addresses. Used by one thread; its times may be read by others.
 */
final class SoakEntry implements AutoCloseable {

	private static final int HEAP_MB = 96;

	private final String name;

	private final Path directory;

	private final EntryAddresses addresses;

	private final LoopbackProxy store;

	private ManagedProcess process;

	private volatile boolean stopping;

	private volatile long disturbedAtMs = Long.MIN_VALUE / 2;

	private volatile boolean paused;

	private volatile boolean answering;

	SoakEntry(String name, Path directory, LoopbackProxy store) throws IOException {
		this.name = name;
		this.directory = directory;
		this.store = store;
		this.addresses = EntryAddresses.free();
	}

	String name() {
		return this.name;
	}

	Address front() {
		return this.addresses.front();
	}

	Address control() {
		return this.addresses.control();
	}

	Address ready() {
		return this.addresses.ready();
	}

	LoopbackProxy store() {
		return this.store;
	}

	void start(List<SoakEntry> seeds) throws IOException {
		Path file = writeSettings(seeds);
		this.answering = false;
		this.process = ManagedProcess.java(this.name, this.directory, HEAP_MB,
				Map.of("WIGEONTALLY_CONFIG", file.toString()), HostProcess.class.getName(), "entry");
		this.stopping = false;
	}

	private Path writeSettings(List<SoakEntry> seeds) throws IOException {
		Path file = this.directory.resolve(this.name + ".yaml");
		List<Address> seedAddresses = seeds.stream().map(SoakEntry::control).toList();
		return Files.writeString(file, this.addresses.settings(this.name, seedAddresses, this.store.port()));
	}

	/**
	 * Sends SIGHUP.
	 * @throws IOException if the signal cannot be sent
	 */
	void hangUp() throws IOException {
		this.process.hangUp();
	}

	/**
	 * Writes other settings, while the process may be reading them.
	 * @param seeds entries that the settings name
	 * @throws IOException if the file cannot be written
	 */
	void changeSettings(List<SoakEntry> seeds) throws IOException {
		writeSettings(seeds);
	}

	/** Records that the process, which was started last, has answered a request. */
	void answered() {
		this.answering = true;
	}

	/**
	 * Returns whether the process ended although nobody ended it.
	 * @return true if it did
	 */
	boolean hasEndedByItself() {
		return !this.stopping && !this.process.isAlive();
	}

	boolean isAnswering() {
		return this.answering;
	}

	boolean isRunning() {
		return this.process.isAlive();
	}

	boolean isPaused() {
		return this.paused;
	}

	boolean isStopping() {
		return this.stopping;
	}

	/** Asks the process to end, without waiting for it. */
	void terminate() {
		this.stopping = true;
		this.process.requestEnd();
	}

	/** Sends SIGTERM again to a process that is stopping. */
	void terminateAgain() {
		if (this.stopping && isRunning()) {
			this.process.requestEnd();
		}
	}

	void kill(long nowMs) {
		this.stopping = true;
		this.disturbedAtMs = nowMs;
		this.process.kill();
	}

	void pause(long nowMs) throws IOException {
		this.paused = true;
		this.disturbedAtMs = nowMs;
		this.process.pause();
	}

	void resume(long nowMs) throws IOException {
		this.process.resume();
		this.disturbedAtMs = nowMs;
		this.paused = false;
	}

	/**
	 * Returns whether the process was killed or paused since an instant.
	 * @param sinceMs the instant
	 * @return true if it was
	 */
	boolean wasDisturbedSince(long sinceMs) {
		return this.paused || this.disturbedAtMs >= sinceMs;
	}

	/**
	 * Counts logged faults of the process, and exceptions that passed through its own
	 * code.
	 * @return number of lines
	 * @throws IOException if the log cannot be read
	 */
	long countFaultLines() throws IOException {
		try (var lines = Files.lines(this.directory.resolve(this.name + ".log"))) {
			return lines.filter((line) -> line.contains("event=fault") || line.contains("at org.wigeontally")).count();
		}
	}

	@Override
	public void close() throws IOException {
		this.process.close();
	}

}
