import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/** An entry process, started with the command of the deploy file. */
final class Entry implements AutoCloseable {

	final String name;

	final int front = freePort();

	final int ready = freePort();

	final int control = freePort();

	final int directory = freePort();

	final int internal = freePort();

	final int metrics = freePort();

	private final Path folder;

	private Process process;

	Entry(String name, Path folder) throws IOException {
		this.name = name;
		this.folder = folder;
	}

	static int freePort() throws IOException {
		try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getByName("127.0.0.1"))) {
			return socket.getLocalPort();
		}
	}

	void start(int storePort, List<Entry> seeds) throws IOException {
		List<String> quotedSeeds = new ArrayList<>();
		seeds.forEach((seed) -> quotedSeeds.add("\"127.0.0.1:" + seed.control + "\""));
		String settings = """
				host: "%s"
				zone: "lautoka-a"
				region: "viti-west"
				ip: "127.0.0.1"
				zones:
				  - {zone: "lautoka-a", region: "viti-west"}
				front: "127.0.0.1:%d"
				ready: "127.0.0.1:%d"
				control: "127.0.0.1:%d"
				directory: "127.0.0.1:%d"
				internal_port: %d
				metrics_port: %d
				seeds: [%s]
				store: "127.0.0.1:%d"
				link_mbps: 1000.0
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
				  drain_ms: 2000
				""".formatted(this.name, this.front, this.ready, this.control, this.directory, this.internal,
				this.metrics, String.join(", ", quotedSeeds), storePort);
		this.process = launch("entry", this.name, this.folder, settings);
	}

	/**
	 * Starts a process of a role.
	 * @param role the role
	 * @param name name of its host
	 * @param folder folder for its settings and its log
	 * @param settings its settings
	 * @return the process, which ends with this one at the latest
	 * @throws IOException if it cannot be started
	 */
	static Process launch(String role, String name, Path folder, String settings) throws IOException {
		Path file = Files.writeString(folder.resolve(name + ".yaml"), settings);
		ProcessBuilder builder = new ProcessBuilder(command(role));
		Map<String, String> environment = builder.environment();
		environment.keySet().removeIf((key) -> !List.of("PATH", "HOME", "JAVA_HOME", "LANG").contains(key));
		environment.put("WIGEONTALLY_CONFIG", file.toString());
		builder.redirectErrorStream(true);
		builder.redirectOutput(ProcessBuilder.Redirect.appendTo(folder.resolve(name + ".log").toFile()));
		Process started = builder.start();
		Runtime.getRuntime().addShutdownHook(new Thread(started::destroyForcibly));
		return started;
	}

	// The line "run" of the role in the deploy file, split at spaces as the platform does.
	static List<String> command(String role) throws IOException {
		boolean inRole = false;
		for (String line : Files.readAllLines(Path.of("deploy/system.toml"))) {
			if (line.startsWith("[")) {
				inRole = line.strip().equals("[roles." + role + "]");
			}
			else if (inRole && line.startsWith("run = ")) {
				return List.of(line.substring(line.indexOf('"') + 1, line.lastIndexOf('"')).split(" "));
			}
		}
		throw new IOException("deploy/system.toml has no role " + role);
	}

	boolean awaitReady(long timeoutMs) throws InterruptedException {
		long untilNs = System.nanoTime() + timeoutMs * 1_000_000;
		while (System.nanoTime() < untilNs) {
			if (isReady()) {
				return true;
			}
			Thread.sleep(50);
		}
		return false;
	}

	private boolean isReady() {
		try (Socket socket = new Socket()) {
			socket.connect(new InetSocketAddress("127.0.0.1", this.ready), 500);
			socket.setSoTimeout(500);
			socket.getOutputStream()
				.write("GET /wigeontally/ready HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n"
					.getBytes(StandardCharsets.ISO_8859_1));
			return new String(socket.getInputStream().readNBytes(12), StandardCharsets.ISO_8859_1).endsWith("200");
		}
		catch (IOException ex) {
			return false;
		}
	}

	/** Sends SIGKILL and waits for the end. */
	void kill() throws InterruptedException {
		this.process.destroyForcibly().waitFor(5, TimeUnit.SECONDS);
	}

	@Override
	public void close() throws InterruptedException {
		if (this.process != null) {
			kill();
		}
	}

}
