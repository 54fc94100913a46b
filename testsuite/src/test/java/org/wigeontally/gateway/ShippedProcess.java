package org.wigeontally.gateway;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.concurrent.TimeUnit;

import org.wigeontally.emulator.experiment.EntryAddresses;
import org.wigeontally.emulator.experiment.ManagedProcess;
import org.wigeontally.emulator.experiment.Ports;
import org.wigeontally.schema.generated.Address;
import org.wigeontally.settings.Addresses;
import org.wigeontally.tool.HostProcess;

/**
 * An entry or agent as a process of its own, as the platform starts it.
 */
public final class ShippedProcess implements AutoCloseable {

	private static final String ENTRY = "entry";

	private static final double HALF = 0.5;

	private static final Path DEPLOY_FILE = Path.of("..", "deploy", "system.toml");

	private final Process process;

	private final Path settings;

	private final EntryAddresses addresses;

	private final String settingsText;

	private final Address listening;

	private ShippedProcess(Process process, Path settings, String settingsText, EntryAddresses addresses,
			Address listening) {
		this.process = process;
		this.settings = settings;
		this.settingsText = settingsText;
		this.addresses = addresses;
		this.listening = listening;
	}

	/**
	 * Starts an entry whose output the test reads or leaves unread.
	 * @param storePort port of the store
	 * @param jvmOptions options of the JVM
	 * @return the process
	 */
	public static ShippedProcess start(int storePort, List<String> jvmOptions) throws Exception {
		return start(storePort, jvmOptions, ProcessBuilder.Redirect.PIPE);
	}

	/**
	 * Starts an entry that writes its log to a file.
	 * @param storePort port of the store
	 * @param jvmOptions options of the JVM
	 * @param log the file
	 * @return the process
	 */
	public static ShippedProcess start(int storePort, List<String> jvmOptions, Path log) throws Exception {
		return start(storePort, jvmOptions, ProcessBuilder.Redirect.to(log.toFile()));
	}

	private static ShippedProcess start(int storePort, List<String> jvmOptions, ProcessBuilder.Redirect output)
			throws Exception {
		return start(ENTRY, storePort, jvmOptions, output, 1);
	}

	/**
	 * Starts a process whose settings file may still be being written.
	 * @param role entry or agent
	 * @param storePort port of the store
	 * @param jvmOptions options of the JVM
	 * @param writtenShare part of the settings that has been written
	 * @return the process
	 */
	public static ShippedProcess start(String role, int storePort, List<String> jvmOptions, double writtenShare)
			throws Exception {
		return start(role, storePort, jvmOptions, ProcessBuilder.Redirect.DISCARD, writtenShare);
	}

	private static ShippedProcess start(String role, int storePort, List<String> jvmOptions,
			ProcessBuilder.Redirect output, double writtenShare) throws Exception {
		EntryAddresses addresses = EntryAddresses.free();
		Address internal = Address.newBuilder()
			.setIp(addresses.front().getIp())
			.setPort(addresses.internalPort())
			.build();
		String text = "backend: \"" + Addresses.format(Ports.free()) + "\"\n"
				+ addresses.settings(role, List.of(), storePort);
		Path settings = Files.createTempFile(role, ".yaml");
		writePart(settings, text, writtenShare);
		List<String> command = new ArrayList<>();
		command.add(Path.of(System.getProperty("java.home"), "bin", "java").toString());
		command.addAll(jvmOptions);
		command.addAll(List.of("-Dwigeontally.log=host", "-cp", System.getProperty("java.class.path"),
				HostProcess.class.getName(), role));
		ProcessBuilder builder = new ProcessBuilder(command).redirectErrorStream(true).redirectOutput(output);
		builder.environment().put("WIGEONTALLY_CONFIG", settings.toString());
		return new ShippedProcess(builder.start(), settings, text, addresses,
				role.equals(ENTRY) ? addresses.front() : internal);
	}

	private static void writePart(Path settings, String text, double share) throws IOException {
		Files.writeString(settings, text.substring(0, (int) (text.length() * share)));
	}

	/**
	 * Writes the settings file again.
	 * @param share part of it that is written
	 */
	public void writeSettings(double share) throws IOException {
		writePart(this.settings, this.settingsText, share);
	}

	/**
	 * Returns the options that limit the memory of an entry in the deploy file.
	 * @return options of the JVM
	 */
	public static List<String> deployedMemoryOptions() throws IOException {
		String run = Files.readString(DEPLOY_FILE).split("roles.entry]")[1].split("\"")[1];
		return Arrays.stream(run.split(" "))
			.filter((option) -> option.startsWith("-X") && !option.contains("har"))
			.toList();
	}

	/**
	 * Sends a signal to the process.
	 * @param name name of the signal
	 */
	public void signal(String name) throws IOException {
		ManagedProcess.signal(this.process, name);
	}

	/**
	 * Sends SIGHUP and SIGTERM in series and writes the settings file in two parts, until
	 * the process has ended.
	 * @param maxS time after which it is left alone, seconds
	 */
	public void disturbUntilGone(int maxS) throws IOException {
		long deadlineNs = System.nanoTime() + TimeUnit.SECONDS.toNanos(maxS);
		while (this.process.isAlive() && System.nanoTime() < deadlineNs) {
			writeSettings(HALF);
			signal("HUP");
			writeSettings(1);
			signal("HUP");
			signal("TERM");
		}
	}

	public Process process() {
		return this.process;
	}

	/**
	 * Returns where the process answers HTTP requests first of all: those of callers, or
	 * of other agents.
	 * @return the address
	 */
	public Address listening() {
		return this.listening;
	}

	public Address front() {
		return this.addresses.front();
	}

	public Address ready() {
		return this.addresses.ready();
	}

	@Override
	public void close() throws Exception {
		this.process.destroyForcibly().waitFor(5, TimeUnit.SECONDS);
		Files.delete(this.settings);
	}

}
