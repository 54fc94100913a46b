import java.io.IOException;
import java.nio.file.Path;
import java.util.concurrent.TimeUnit;

/** An agent process beside an engine, started with the command of the deploy file. */
final class Agent implements AutoCloseable {

	private final String name;

	private final String ip;

	private final Path folder;

	private Process process;

	Agent(String name, String ip, Path folder) {
		this.name = name;
		this.ip = ip;
		this.folder = folder;
	}

	void start(Entry entry, int storePort, String enginePort) throws IOException {
		String settings = """
				host: "%s"
				zone: "lautoka-a"
				region: "viti-west"
				ip: "%s"
				zones:
				  - {zone: "lautoka-a", region: "viti-west"}
				internal_port: %d
				metrics_port: %d
				seeds: ["127.0.0.1:%d"]
				store: "127.0.0.1:%d"
				link_mbps: 5.11
				backend: "%s:%s"
				service: "%s"
				bounds:
				  grace_s: 8
				  version_ms: 8000
				  drain_ms: 2000
				""".formatted(this.name, this.ip, entry.internal, entry.metrics, entry.control, storePort, this.ip,
				enginePort, Site.ENGINES);
		this.process = Entry.launch("agent", this.name, this.folder, settings);
	}

	/** Sends SIGKILL and waits for the end. */
	void kill() throws InterruptedException {
		this.process.destroyForcibly().waitFor(5, TimeUnit.SECONDS);
	}

	/** Sends SIGTERM and waits for the end; after the grace period, sends SIGKILL. */
	void terminate() throws InterruptedException {
		this.process.destroy();
		if (!this.process.waitFor(8, TimeUnit.SECONDS)) {
			kill();
		}
	}

	/** Sends SIGSTOP or SIGCONT. */
	void signal(String signal) throws IOException, InterruptedException {
		new ProcessBuilder("kill", "-" + signal, Long.toString(this.process.pid())).start().waitFor();
	}

	@Override
	public void close() throws InterruptedException {
		if (this.process != null) {
			kill();
		}
	}

}
