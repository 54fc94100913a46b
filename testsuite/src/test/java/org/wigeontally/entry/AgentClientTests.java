package org.wigeontally.entry;

import java.net.ServerSocket;
import java.util.concurrent.TimeUnit;

import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpMethod;
import org.testng.annotations.Test;

import org.wigeontally.harmful.Fingerprint;
import org.wigeontally.http.Outcome;
import org.wigeontally.misc.Clock;
import org.wigeontally.schema.generated.Address;
import org.wigeontally.schema.generated.Organisation;
import org.wigeontally.schema.generated.Service;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests the refusal that the client returns if an agent accepts no connection.
 */
public class AgentClientTests {

	@Test
	public void refusalHasRetryDelayIfTheAgentIsUnreachable() throws Exception {
		int port;
		try (ServerSocket socket = new ServerSocket(0)) {
			port = socket.getLocalPort();
		}
		Vertx vertx = Vertx.vertx();
		try (AgentClient client = AgentClient.create(vertx)) {
			CallerRequest request = new CallerRequest(Organisation.getDefaultInstance(), Service.getDefaultInstance(),
					HttpMethod.GET, "/x", Buffer.buffer(), "normal", Clock.system().monotonicMs() + 10_000, "", 0);
			Dispatch dispatch = new Dispatch("id", request, "", 1, "", Fingerprint.of("s", "/x", new byte[0]), false,
					Clock.system());
			DispatchResult answer = client.send(Address.newBuilder().setIp("127.0.0.1").setPort(port).build(), dispatch)
				.toCompletionStage()
				.toCompletableFuture()
				.get(5, TimeUnit.SECONDS);
			assertThat(answer).isInstanceOfSatisfying(DispatchResult.NotRun.class, (notRun) -> {
				assertThat(notRun.refusal().outcome()).isEqualTo(Outcome.NOT_RUN);
				assertThat(notRun.refusal().retryAfterMs()).isPositive();
			});
		}
		finally {
			vertx.close().toCompletionStage().toCompletableFuture().get(5, TimeUnit.SECONDS);
		}
	}

}
