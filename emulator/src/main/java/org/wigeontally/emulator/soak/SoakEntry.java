package org.wigeontally.emulator.soak;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;

import org.wigeontally.emulator.experiment.ManagedProcess;
import org.wigeontally.emulator.experiment.Ports;
import org.wigeontally.schema.generated.Address;
import org.wigeontally.settings.Addresses;
import org.wigeontally.tool.HostProcess;

/**
 * An entry process that can be stopped, killed, paused and started again at the same
 * addresses. Used by one thread; its times may be read by others.
 */
final class SoakEntry implements AutoCloseable {

	private static final int HEAP_MB = 96;

	private final String name;

	private final Path directory;

	private final Address front;

	private final Address control;

	private final Address ready;

	private final Address directoryAddress;

	private final int internalPort;

	private final int metricsPort;

	private final LoopbackProxy store;

	private ManagedProcess process;

	private volatile boolean stopping;

	private volatile long disturbedAtMs = Long.MIN_VALUE / 2;

	private volatile boolean paused;

	SoakEntry(String name, Path directory, LoopbackProxy store) throws IOException {
		this.name = name;
		this.directory = directory;
		this.store = store;
		this.front = Ports.free();
		this.control = Ports.free();
		this.ready = Ports.free();
		this.directoryAddress = Ports.free();
		this.internalPort = Ports.free().getPort();
		this.metricsPort = Ports.free().getPort();
	}

	String name() {
		return this.name;
	}

	Address front() {
		return this.front;
	}

	Address control() {
		return this.control;
	}

	Address ready() {
		return this.ready;
	}

	LoopbackProxy store() {
		return this.store;
	}

	void start(List<SoakEntry> seeds) throws IOException {
		Path file = this.directory.resolve(this.name + ".yaml");
		Files.writeString(file, settings(seeds));
		this.process = ManagedProcess.java(this.name, this.directory, HEAP_MB,
				Map.of("WIGEONTALLY_CONFIG", file.toString()), HostProcess.class.getName(), "entry");
		this.stopping = false;
	}

	private String settings(List<SoakEntry> seeds) {
		List<String> addresses = seeds.stream()
			.map((entry) -> "\"" + Addresses.format(entry.control()) + "\"")
			.toList();
		return """
				host: "%s"
				zone: "zone-a"
				region: "region-a"
				ip: "127.0.0.1"
				zones:
				- {zone: "zone-a", region: "region-a"}
				front: "%s"
				ready: "%s"
				control: "%s"
				directory: "%s"
				internal_port: %d
				metrics_port: %d
				seeds: [%s]
				store: "127.0.0.1:%d"
				bounds:
				  grace_s: 8
				  retry_ratio: 0.2
				  retry_window_s: 10
				  retry_slack: 104
				  cold_factor: 1.5
				  cold_slack: 5
				  version_ms: 8000
				  directory_ttl_s: 5
				  relay_ms: 120
				  configuration_ms: 2000
				""".formatted(this.name, Addresses.format(this.front), Addresses.format(this.ready),
				Addresses.format(this.control), Addresses.format(this.directoryAddress), this.internalPort,
				this.metricsPort, String.join(", ", addresses), this.store.port());
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
