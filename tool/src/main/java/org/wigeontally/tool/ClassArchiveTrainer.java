package org.wigeontally.tool;

import java.io.IOException;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.TimeUnit;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClient;

import org.wigeontally.errors.InputException;
import org.wigeontally.eventlog.EventLog;
import org.wigeontally.gateway.GatewayDaemon;
import org.wigeontally.misc.Clock;
import org.wigeontally.platform.standin.FakeBackend;
import org.wigeontally.platform.standin.FakeConfiguration;
import org.wigeontally.platform.standin.FakeEngine;
import org.wigeontally.platform.standin.FakeStore;
import org.wigeontally.platform.standin.TestCaller;
import org.wigeontally.schema.generated.HostSettings;
import org.wigeontally.sidecar.SidecarDaemon;

/**
 * Training run for the class data sharing (CDS) archive. During the build it runs two
 * entries and an agent for a short time with a store, backend servers, an engine and
 * requests, so that the Java runtime writes the classes that they load into the archive
 * at exit. Each class that is missing is read, parsed and verified in every process that
 * starts, which costs more than the first hundred requests. The archive is optional:
 * without it processes only start more slowly.
 */
final class ClassArchiveTrainer {

	/** Argument of {@link HostProcess} that starts the training run. */
	static final String COMMAND = "archive";

	private static final String LOOPBACK = "127.0.0.1";

	private static final long START_TIMEOUT_MS = 5_000;

	/** Time for several rounds of exchanges, heartbeats and reports. */
	private static final long RUN_DURATION_MS = 4_000;

	private static final long REQUEST_INTERVAL_MS = 100;

	private static final long DRAIN_TIMEOUT_MS = 3_000;

	private static final int EVENTS = 3;

	private static final String SETTINGS = """
			host: "%1$s"
			zone: "zone"
			region: "region"
			ip: "127.0.0.1"
			zones:
			  - {zone: "zone", region: "region"}
			front: "127.0.0.1:%2$d"
			ready: "127.0.0.1:%3$d"
			control: "127.0.0.1:%4$d"
			directory: "127.0.0.1:%5$d"
			internal_port: %6$d
			metrics_port: %7$d
			seeds: ["127.0.0.1:%8$d"]
			store: "127.0.0.1:%9$d"
			backend: "127.0.0.1:%10$d"
			bounds:
			  grace_s: 1
			  retry_window_s: 1
			  version_ms: 1
			""";

	private ClassArchiveTrainer() {
	}

	static int run() {
		Vertx vertx = HostProcess.createVertx();
		try {
			FakeStore store = await(FakeStore.start(vertx));
			FakeBackend desk = await(FakeBackend.start(vertx, "desk",
					(arrival, socket) -> socket.write(Buffer.buffer(FakeBackend.signedResponse(arrival, "ok")))));
			FakeBackend events = await(FakeBackend.start(vertx, "events", (arrival, socket) -> socket
				.write(FakeBackend.partialEventStream(arrival, "s", 1, 1 + EVENTS) + FakeBackend.LAST_CHUNK)));
			store.write("op", "config", FakeConfiguration.create(1, List.of()));
			store.write("servers", "desk", desk.registration("desk", "zone", "ready", 0));
			store.write("servers", "events", events.registration("engines", "zone", "ready", 1));
			HostSettings settings = createSettings("entry-1", true, freePort(), store.port(), freePort());
			EventLog log = EventLog.create(Clock.system(), settings.getHost());
			GatewayDaemon entry = await(GatewayDaemon.start(vertx, settings, Clock.system(), log));
			int seed = settings.getControl().getPort();
			await(GatewayDaemon.start(vertx, createSettings("entry-2", true, seed, store.port(), freePort()),
					Clock.system(), log));
			FakeEngine engine = await(FakeEngine.start(vertx, 1));
			await(SidecarDaemon.start(vertx, createSettings("agent", false, seed, store.port(), engine.port()),
					Clock.system(), log));
			sendRequests(vertx, settings);
			Thread.sleep(RUN_DURATION_MS);
			entry.drain();
			Thread.sleep(DRAIN_TIMEOUT_MS);
			return ExitCode.SUCCESS;
		}
		catch (Exception ex) {
			System.err.println("wigeontally: cannot create the class archive: " + ex.getMessage());
			return ExitCode.FAILURE;
		}
	}

	// The first requests are refused, since the entry has no configuration yet.
	private static void sendRequests(Vertx vertx, HostSettings settings) {
		HttpClient client = vertx.createHttpClient();
		vertx.setPeriodic(REQUEST_INTERVAL_MS,
				(id) -> List.of("plain", "once", "events", "unknown")
					.forEach((route) -> TestCaller.sendRequest(client, settings.getFront(), "/" + route + "/x",
							route + System.nanoTime(), FakeConfiguration.API_KEY, "body")));
	}

	private static <T> T await(Future<T> future) throws Exception {
		return future.toCompletionStage().toCompletableFuture().get(START_TIMEOUT_MS, TimeUnit.MILLISECONDS);
	}

	// Uses the settings file of the processes, so that its classes are in the archive.
	private static HostSettings createSettings(String host, boolean isEntry, int seedPort, int storePort,
			int backendPort) throws IOException, InputException {
		Path path = Files.createTempFile("wigeontally-archive", ".yaml");
		try {
			Files.writeString(path, String.format(SETTINGS, host, freePort(), freePort(), freePort(), freePort(),
					freePort(), freePort(), seedPort, storePort, backendPort));
			SettingsFile file = SettingsFile.of(path, isEntry);
			HostSettings settings = file.read();
			SettingsReload.of(file, (changed) -> {
			}, EventLog.create(Clock.system(), host)).watch();
			return settings;
		}
		finally {
			Files.delete(path);
		}
	}

	private static int freePort() throws IOException {
		try (ServerSocket socket = new ServerSocket(0)) {
			return socket.getLocalPort();
		}
	}

}
