package org.wigeontally.tool;

import java.util.ArrayList;
import java.util.List;

import io.vertx.core.Future;
import io.vertx.core.http.HttpClient;
import io.vertx.core.http.HttpClientOptions;
import io.vertx.core.http.PoolOptions;
import org.testng.annotations.Test;

import org.wigeontally.gateway.GatewayFixture;
import org.wigeontally.gateway.ShippedProcess;
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
		ShippedProcess entry = ShippedProcess.start(fixture.store().port(), List.of());
		Address front = entry.front();
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
			assertThat(entry.process().getInputStream().available()).isGreaterThan(32 * 1024);
		}
		finally {
			entry.close();
			fixture.close();
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

}
