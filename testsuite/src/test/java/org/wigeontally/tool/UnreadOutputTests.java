package org.wigeontally.tool;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;

import io.vertx.core.Future;
import io.vertx.core.http.HttpClient;
import io.vertx.core.http.HttpClientOptions;
import io.vertx.core.http.PoolOptions;
import org.testng.annotations.Test;

import org.wigeontally.gateway.GatewayFixture;
import org.wigeontally.platform.standin.TestCaller;
import org.wigeontally.schema.generated.Address;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Runs an entry as a separate process whose standard output is a pipe that is not read.
 * Guards against requests that wait for log lines to be written.
 */
public class UnreadOutputTests {

	private static final int ROUNDS = 60;

	private static final int CALLS_PER_ROUND = 50;

	private static final long MAX_ROUND_MS = 2_000;

	/** The calls write enough lines to fill the pipe several times. */
	@Test
	public void entryAnswersWhileItsLogIsNotRead() throws Exception {
		GatewayFixture fixture = new GatewayFixture();
		Address front = GatewayFixture.freeAddress();
		Path settings = Files.createTempFile("entry", ".yaml");
		Files.writeString(settings, settings(front, fixture.store().port()));
		ProcessBuilder builder = new ProcessBuilder(Path.of(System.getProperty("java.home"), "bin", "java").toString(),
				"-Dwigeontally.log=host", "-cp", System.getProperty("java.class.path"), HostProcess.class.getName(),
				"entry")
			.redirectErrorStream(true);
		builder.environment().put("WIGEONTALLY_CONFIG", settings.toString());
		Process process = builder.start();
		HttpClient client = fixture.vertx()
			.createHttpClient(new HttpClientOptions(), new PoolOptions().setHttp1MaxSize(CALLS_PER_ROUND));
		try {
			GatewayFixture.awaitTrue(() -> isAnswering(client, front));
			long longestRoundMs = 0;
			for (int round = 0; round < ROUNDS; round++) {
				long startNs = System.nanoTime();
				List<Future<TestCaller.Response>> calls = new ArrayList<>();
				for (int i = 0; i < CALLS_PER_ROUND; i++) {
					calls.add(TestCaller.sendRequest(client, front, "/none/x", "id-" + round + "-" + i, null, ""));
				}
				GatewayFixture.await(Future.all(calls));
				longestRoundMs = Math.max(longestRoundMs, (System.nanoTime() - startNs) / 1_000_000);
				Thread.sleep(100);
			}
			assertThat(longestRoundMs).isLessThan(MAX_ROUND_MS);
			// A full pipe shows that the log was not read.
			assertThat(process.getInputStream().available()).isGreaterThan(32 * 1024);
		}
		finally {
			process.destroyForcibly().waitFor(5, TimeUnit.SECONDS);
			fixture.close();
			Files.delete(settings);
		}
	}

	private static boolean isAnswering(HttpClient client, Address front) {
		try {
			GatewayFixture.await(TestCaller.sendRequest(client, front, "/none/x", "first", null, ""));
			return true;
		}
		catch (Exception ex) {
			return false;
		}
	}

	private static String settings(Address front, int storePort) throws Exception {
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
		for (String name : List.of("ready", "control", "directory")) {
			text.append(name).append(": \"127.0.0.1:").append(GatewayFixture.freeAddress().getPort()).append("\"\n");
		}
		text.append("internal_port: ").append(GatewayFixture.freeAddress().getPort()).append('\n');
		text.append("metrics_port: ").append(GatewayFixture.freeAddress().getPort()).append('\n');
		return text.append("store: \"127.0.0.1:").append(storePort).append("\"\n").toString();
	}

}
