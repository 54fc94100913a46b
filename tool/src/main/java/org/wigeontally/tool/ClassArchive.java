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
import org.wigeontally.schema.generated.Address;
import org.wigeontally.schema.generated.HostBounds;
import org.wigeontally.schema.generated.HostSettings;
import org.wigeontally.schema.generated.ZonePlace;
import org.wigeontally.settings.HostSettingsCheck;
import org.wigeontally.settings.SettingsReader;
import org.wigeontally.sidecar.SidecarDaemon;

/**
 * Runs an entry and an agent for a moment during the build, so that the Java runtime can
 * write the classes that they load into an archive. Processes that start with it need
 * about half of the processor time until they listen, which counts when many restart at
 * once. Nothing depends on the archive: without it they start more slowly.
 */
final class ClassArchive {

	/** Argument that asks for this. */
	static final String COMMAND = "archive";

	private static final String LOOPBACK = "127.0.0.1";

	private static final long RUN_MS = 2_500;

	private static final String SETTINGS = """
			host: "h"
			zone: "z"
			region: "r"
			ip: "127.0.0.1"
			zones:
			  - {zone: "z", region: "r"}
			front: "127.0.0.1:1"
			ready: "127.0.0.1:2"
			control: "127.0.0.1:3"
			directory: "127.0.0.1:4"
			internal_port: 5
			metrics_port: 6
			seeds: ["127.0.0.1:3"]
			store: "127.0.0.1:7"
			bounds:
			  grace_s: 8
			  retry_ratio: 0.2
			  retry_window_s: 10
			  retry_slack: 1
			  cold_factor: 1.5
			  cold_slack: 5
			  version_ms: 8000
			  directory_ttl_s: 5
			  relay_ms: 120
			""";

	private ClassArchive() {
	}

	static int run() {
		Vertx vertx = HostProcess.vertx();
		try {
			readSettings();
			HostSettings entry = settings("entry");
			EventLog log = EventLog.create(Clock.system(), entry.getHost());
			GatewayDaemon gateway = await(GatewayDaemon.start(vertx, entry, Clock.system(), log));
			HostSettings agent = settings("agent").toBuilder().addSeeds(entry.getControl()).build();
			await(SidecarDaemon.start(vertx, agent, Clock.system(), log));
			HttpClient client = vertx.createHttpClient();
			client.request(HttpMethod.POST, entry.getFront().getPort(), LOOPBACK, "/archive/x")
				.compose((request) -> request.send("body"));
			Thread.sleep(RUN_MS);
			gateway.close();
			return ExitCode.DONE;
		}
		catch (Exception ex) {
			System.err.println("wigeontally: no class archive: " + ex.getMessage());
			return ExitCode.REFUSED;
		}
	}

	// Read as a process does; what it holds is not used, since the ports are free ones.
	private static void readSettings() throws InputException {
		SettingsReader.read("archive", SETTINGS, HostSettings.newBuilder(), HostSettingsCheck.create(true));
	}

	private static <T> T await(Future<T> future) throws Exception {
		return future.toCompletionStage().toCompletableFuture().get(RUN_MS, TimeUnit.MILLISECONDS);
	}

	private static HostSettings settings(String host) throws IOException {
		return HostSettings.newBuilder()
			.setHost(host)
			.setZone("zone")
			.setRegion("region")
			.setIp(LOOPBACK)
			.addZones(ZonePlace.newBuilder().setZone("zone").setRegion("region"))
			.setFront(freeAddress())
			.setReady(freeAddress())
			.setControl(freeAddress())
			.setDirectory(freeAddress())
			.setInternalPort(freeAddress().getPort())
			.setMetricsPort(freeAddress().getPort())
			.setStore(freeAddress())
			.setBackend(freeAddress())
			.setBounds(HostBounds.newBuilder().setGraceS(1).setRetryWindowS(1).setVersionMs(1))
			.build();
	}

	private static Address freeAddress() throws IOException {
		try (ServerSocket socket = new ServerSocket(0)) {
			return Address.newBuilder().setIp(LOOPBACK).setPort(socket.getLocalPort()).build();
		}
	}

}
