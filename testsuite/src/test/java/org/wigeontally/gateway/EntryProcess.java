package org.wigeontally.gateway;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.concurrent.TimeUnit;

import org.wigeontally.schema.generated.Address;
import org.wigeontally.tool.HostProcess;

/**
 * An entry as a process of its own, as the platform starts it.
 */
public final class EntryProcess implements AutoCloseable {

	private static final Path DEPLOY_FILE = Path.of("..", "deploy", "system.toml");

	private final Process process;

	private final Path settings;

	private final Address front;

	private final Address ready;

	private EntryProcess(Process process, Path settings, Address front, Address ready) {
		this.process = process;
		this.settings = settings;
		this.front = front;
		this.ready = ready;
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
		Address front = GatewayFixture.freeAddress();
		Address ready = GatewayFixture.freeAddress();
		Path settings = Files.createTempFile("entry", ".yaml");
		Files.writeString(settings, settings(front, ready, storePort));
		List<String> command = new ArrayList<>();
		command.add(Path.of(System.getProperty("java.home"), "bin", "java").toString());
		command.addAll(jvmOptions);
		command.addAll(List.of("-Dwigeontally.log=host", "-cp", System.getProperty("java.class.path"),
				HostProcess.class.getName(), "entry"));
		ProcessBuilder builder = new ProcessBuilder(command).redirectErrorStream(true).redirectOutput(output);
		builder.environment().put("WIGEONTALLY_CONFIG", settings.toString());
		return new EntryProcess(builder.start(), settings, front, ready);
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

	private static String settings(Address front, Address ready, int storePort) throws IOException {
		StringBuilder text = new StringBuilder("""
				host: "entry"
				zone: "zone-a"
				region: "region-a"
				ip: "127.0.0.1"
				zones:
				  - {zone: "zone-a", region: "region-a"}
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
				""");
		text.append("front: \"127.0.0.1:").append(front.getPort()).append("\"\n");
		text.append("ready: \"127.0.0.1:").append(ready.getPort()).append("\"\n");
		for (String name : List.of("control", "directory")) {
			text.append(name).append(": \"127.0.0.1:").append(GatewayFixture.freeAddress().getPort()).append("\"\n");
		}
		text.append("internal_port: ").append(GatewayFixture.freeAddress().getPort()).append('\n');
		text.append("metrics_port: ").append(GatewayFixture.freeAddress().getPort()).append('\n');
		return text.append("store: \"127.0.0.1:").append(storePort).append("\"\n").toString();
	}

	public Process process() {
		return this.process;
	}

	public Address front() {
		return this.front;
	}

	public Address ready() {
		return this.ready;
	}

	@Override
	public void close() throws Exception {
		this.process.destroyForcibly().waitFor(5, TimeUnit.SECONDS);
		Files.delete(this.settings);
	}

}
