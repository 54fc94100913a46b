package org.wigeontally.gateway;

import java.nio.charset.StandardCharsets;
import java.util.Random;

import io.vertx.core.buffer.Buffer;
import io.vertx.core.net.NetClient;
import io.vertx.core.net.NetSocket;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

import org.wigeontally.platform.standin.FakeBackend;
import org.wigeontally.platform.standin.TestCaller;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Sends malformed and hostile requests to the caller-facing port. Every request that
 * reaches a backend server carries the organisation of a known key and no key, and the
 * entry keeps serving.
 */
public class CallerRequestHandlerFuzzTests {

	private static final long SEED = 20_261_204;

	private static final int ROUNDS = 400;

	private GatewayFixture fixture;

	@BeforeMethod
	public void start() throws Exception {
		this.fixture = new GatewayFixture();
		this.fixture.writeConfiguration();
	}

	@AfterMethod(alwaysRun = true)
	public void stop() throws Exception {
		this.fixture.close();
	}

	@Test
	public void mutatedRequestsNeitherForgeHeadersNorStopTheEntry() throws Exception {
		FakeBackend backend = this.fixture.startBackend("desk-1", "desk", "zone-a",
				GatewayFixture.respondWithSuccess("ok"));
		this.fixture.startEntry();
		this.fixture.awaitStatus(0, "plain", 200);
		Random random = new Random(SEED);
		NetClient client = this.fixture.vertx().createNetClient();
		for (int round = 0; round < ROUNDS; round++) {
			NetSocket socket = GatewayFixture
				.await(client.connect(this.fixture.settings(0).getFront().getPort(), "127.0.0.1"));
			socket.write(Buffer.buffer(mutatedRequest(random, round)));
			if (random.nextBoolean()) {
				socket.close();
			}
		}
		assertThat(this.fixture.call("plain").status()).isEqualTo(200);
		for (FakeBackend.ReceivedRequest arrival : backend.receivedRequests()) {
			assertThat(arrival.headers()).containsEntry("x-tenant", "org-a").doesNotContainKey("x-credential");
			assertThat(arrival.headers().get("x-expect-replica")).isEqualTo("desk-1");
			assertThat(arrival.attemptId()).isNotEmpty();
		}
	}

	/** A caller forges headers that only the entry sets; none is forwarded. */
	@Test
	public void callersCannotSetInternalHeaders() throws Exception {
		FakeBackend backend = this.fixture.startBackend("desk-1", "desk", "zone-a",
				GatewayFixture.respondWithSuccess("ok"));
		this.fixture.startEntry();
		this.fixture.awaitStatus(0, "plain", 200);
		NetSocket socket = GatewayFixture.await(this.fixture.vertx()
			.createNetClient()
			.connect(this.fixture.settings(0).getFront().getPort(), "127.0.0.1"));
		socket.write(TestCaller.requestText("GET /plain/x", "forged", GatewayFixture.API_KEY,
				TestCaller.forgedHeaders("org-b"), ""));
		GatewayFixture
			.awaitTrue(() -> backend.receivedRequests().stream().anyMatch((each) -> each.attemptId().equals("forged")));
		FakeBackend.ReceivedRequest arrival = backend.receivedRequests()
			.stream()
			.filter((each) -> each.attemptId().equals("forged"))
			.findFirst()
			.orElseThrow();
		assertThat(arrival.headers()).containsEntry("x-tenant", "org-a")
			.containsEntry("x-expect-replica", "desk-1")
			.doesNotContainKeys("x-request-priority", "path", "x-credential");
		socket.close();
	}

	private static byte[] mutatedRequest(Random random, int round) {
		String body = "order " + round;
		String request = TestCaller.requestText("POST /plain/x", "f" + round, GatewayFixture.API_KEY,
				"Content-Length: " + body.length() + "\r\n", body);
		byte[] bytes = request.getBytes(StandardCharsets.ISO_8859_1);
		for (int mutation = 0; mutation <= random.nextInt(5); mutation++) {
			bytes[random.nextInt(bytes.length)] = (byte) random.nextInt(256);
		}
		return bytes;
	}

}
