package org.wigeontally.tool;

import java.io.IOException;
import java.net.ServerSocket;
import java.util.concurrent.TimeUnit;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.http.HttpClient;
import io.vertx.core.http.HttpMethod;

import org.wigeontally.errors.InputException;
import org.wigeontally.eventlog.EventLog;
import org.wigeontally.gateway.GatewayDaemon;
import org.wigeontally.misc.Clock;
import org.wigeontally.schema.generated.HostSettings;
import org.wigeontally.settings.HostSettingsValidator;
import org.wigeontally.settings.SettingsReader;
import org.wigeontally.sidecar.SidecarDaemon;

/**
 * Training run for the class data sharing (CDS) archive. During the build it runs an
 * entry and an agent for a short time, so that the Java runtime writes the classes that
 * they load into the archive at exit. Processes that start with the archive need about
 * half of the processor time until they listen, which matters when many restart at once.
 * The archive is optional: without it processes only start more slowly.
 */
final class ClassArchiveTrainer {

	/** Argument of {@link HostProcess} that starts the training run. */
	static final String COMMAND = "archive";

	private static final String LOOPBACK = "127.0.0.1";

	private static final long RUN_DURATION_MS = 2_500;

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
			HostSettings entrySettings = createSettings("entry", freePort(), true);
			EventLog log = EventLog.create(Clock.system(), entrySettings.getHost());
			GatewayDaemon gateway = await(GatewayDaemon.start(vertx, entrySettings, Clock.system(), log));
			HostSettings agentSettings = createSettings("agent", entrySettings.getControl().getPort(), false);
			await(SidecarDaemon.start(vertx, agentSettings, Clock.system(), log));
			HttpClient client = vertx.createHttpClient();
			client.request(HttpMethod.POST, entrySettings.getFront().getPort(), LOOPBACK, "/archive/x")
				.compose((request) -> request.send("body"));
			Thread.sleep(RUN_DURATION_MS);
			gateway.close();
			return ExitCode.SUCCESS;
		}
		catch (Exception ex) {
			System.err.println("wigeontally: cannot create the class archive: " + ex.getMessage());
			return ExitCode.FAILURE;
		}
	}

	private static <T> T await(Future<T> future) throws Exception {
		return future.toCompletionStage().toCompletableFuture().get(RUN_DURATION_MS, TimeUnit.MILLISECONDS);
	}

	// Uses the settings reader of the processes, so that its classes are in the archive.
	private static HostSettings createSettings(String host, int seedPort, boolean isEntry)
			throws IOException, InputException {
		String text = String.format(SETTINGS, host, freePort(), freePort(), freePort(), freePort(), freePort(),
				freePort(), seedPort, freePort(), freePort());
		return SettingsReader.read("archive", text, HostSettings.newBuilder(), HostSettingsValidator.create(isEntry))
			.build();
	}

	private static int freePort() throws IOException {
		try (ServerSocket socket = new ServerSocket(0)) {
			return socket.getLocalPort();
		}
	}

}
