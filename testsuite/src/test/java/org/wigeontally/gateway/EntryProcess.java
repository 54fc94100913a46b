package org.wigeontally.gateway;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.concurrent.TimeUnit;

import org.wigeontally.emulator.experiment.EntryAddresses;
import org.wigeontally.schema.generated.Address;
import org.wigeontally.tool.HostProcess;

/**
 * An entry as a process of its own, as the platform starts it.
 */
public final class EntryProcess implements AutoCloseable {

	private static final Path DEPLOY_FILE = Path.of("..", "deploy", "system.toml");

	private final Process process;

	private final Path settings;

	private final EntryAddresses addresses;

	private EntryProcess(Process process, Path settings, EntryAddresses addresses) {
		this.process = process;
		this.settings = settings;
		this.addresses = addresses;
	}

	/**
	 * Starts an entry whose output the test reads or leaves unread.
	 * @param storePort port of the store
	 * @param jvmOptions options of the JVM
	 * @return the process
	 */
	public static EntryProcess start(int storePort, List<String> jvmOptions) throws Exception {
		return start(storePort, jvmOptions, ProcessBuilder.Redirect.PIPE);
	}

	/**
	 * Starts an entry that writes its log to a file.
	 * @param storePort port of the store
	 * @param jvmOptions options of the JVM
	 * @param log the file
	 * @return the process
	 */
	public static EntryProcess start(int storePort, List<String> jvmOptions, Path log) throws Exception {
		return start(storePort, jvmOptions, ProcessBuilder.Redirect.to(log.toFile()));
	}

	private static EntryProcess start(int storePort, List<String> jvmOptions, ProcessBuilder.Redirect output)
			throws Exception {
		EntryAddresses addresses = EntryAddresses.free();
		Path settings = Files.createTempFile("entry", ".yaml");
		Files.writeString(settings, addresses.settings("entry", List.of(), storePort));
		List<String> command = new ArrayList<>();
		command.add(Path.of(System.getProperty("java.home"), "bin", "java").toString());
		command.addAll(jvmOptions);
		command.addAll(List.of("-Dwigeontally.log=host", "-cp", System.getProperty("java.class.path"),
				HostProcess.class.getName(), "entry"));
		ProcessBuilder builder = new ProcessBuilder(command).redirectErrorStream(true).redirectOutput(output);
		builder.environment().put("WIGEONTALLY_CONFIG", settings.toString());
		return new EntryProcess(builder.start(), settings, addresses);
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
	public void signal(String name) throws Exception {
		new ProcessBuilder("kill", "-" + name, Long.toString(this.process.pid())).start().waitFor();
	}

	public Process process() {
		return this.process;
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
