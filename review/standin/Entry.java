import java.io.File;
import java.io.IOException;
import java.net.HttpURLConnection;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.URI;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** An entry process, started with the command of the deploy file. */
final class Entry {

	final String name;

	final int front = freePort();

	private final int ready = freePort();

	final int control = freePort();

	final int directory = freePort();

	private final int internal = freePort();

	private final int metrics = freePort();

	private Process process;

	Entry(String name) throws IOException {
		this.name = name;
	}

	private static int freePort() throws IOException {
		try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getByName("127.0.0.1"))) {
			return socket.getLocalPort();
		}
	}

	void start(Path directory, int storePort, List<Entry> seeds) throws IOException {
		Matcher role = Pattern.compile("\\[roles\\.entry\\]\\s+run = \"([^\"]+)\"")
			.matcher(Files.readString(Path.of("deploy/system.toml")));
		if (!role.find()) {
			throw new IOException("no command of the role entry");
		}
		Path settings = directory.resolve(this.name + ".yaml");
		Files.writeString(settings, settings(storePort, seeds));
		ProcessBuilder builder = new ProcessBuilder(role.group(1).split(" "));
		builder.environment().put("WIGEONTALLY_CONFIG", settings.toString());
		File log = directory.resolve(this.name + ".log").toFile();
		this.process = builder.redirectErrorStream(true).redirectOutput(ProcessBuilder.Redirect.appendTo(log)).start();
		Process started = this.process;
		Runtime.getRuntime().addShutdownHook(new Thread(started::destroyForcibly));
	}

	private String settings(int storePort, List<Entry> seeds) {
		String seedList = String.join(", ", seeds.stream().map((seed) -> "\"127.0.0.1:" + seed.control + "\"").toList());
		return """
				host: "%s"
				zone: "zone-a"
				region: "region-a"
				ip: "127.0.0.1"
				zones:
				  - {zone: "zone-a", region: "region-a"}
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
				""".formatted(this.name, this.front, this.ready, this.control, this.directory, this.internal,
				this.metrics, seedList, storePort);
	}

	boolean isReady() {
		try {
			HttpURLConnection connection = (HttpURLConnection) URI
				.create("http://127.0.0.1:" + this.ready + "/wigeontally/ready")
				.toURL()
				.openConnection();
			connection.setConnectTimeout(500);
			connection.setReadTimeout(500);
			return connection.getResponseCode() == 200;
		}
		catch (IOException ex) {
			return false;
		}
	}

	void awaitReady() throws IOException {
		long deadlineNs = System.nanoTime() + 30_000_000_000L;
		while (!isReady()) {
			if (System.nanoTime() > deadlineNs) {
				throw new IOException(this.name + " is not ready");
			}
			Replica.sleep(50);
		}
	}

	void signal(String name) throws IOException, InterruptedException {
		new ProcessBuilder("kill", "-" + name, Long.toString(this.process.pid())).start().waitFor();
	}

	boolean isAlive() {
		return this.process.isAlive();
	}

	void end() {
		this.process.destroyForcibly();
	}

}
