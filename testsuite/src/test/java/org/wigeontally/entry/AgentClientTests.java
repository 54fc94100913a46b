package org.wigeontally.entry;

import java.net.ServerSocket;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpConnection;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.http.HttpServer;
import org.testng.annotations.Test;

import org.wigeontally.harmful.Fingerprint;
import org.wigeontally.http.Headers;
import org.wigeontally.http.Outcome;
import org.wigeontally.misc.Clock;
import org.wigeontally.schema.generated.Address;
import org.wigeontally.schema.generated.Organisation;
import org.wigeontally.schema.generated.Service;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests what the client returns if an agent accepts no connection or ends.
 */
public class AgentClientTests {

	/** Time for which an agent that ends announces it. */
	private static final long AGENT_NOTICE_MS = 3_000;

	@Test
	public void refusalHasRetryDelayIfTheAgentIsUnreachable() throws Exception {
		int port;
		try (ServerSocket socket = new ServerSocket(0)) {
			port = socket.getLocalPort();
		}
		Vertx vertx = Vertx.vertx();
		try (AgentClient client = AgentClient.create(vertx)) {
			DispatchResult answer = send(client, port, "id");
			assertThat(answer).isInstanceOfSatisfying(DispatchResult.NotRun.class, (notRun) -> {
				assertThat(notRun.refusal().outcome()).isEqualTo(Outcome.NOT_RUN);
				assertThat(notRun.refusal().retryAfterMs()).isPositive();
			});
		}
		finally {
			await(vertx.close());
		}
	}

	/** Guards against requests that are cut when an agent closes idle connections. */
	@Test
	public void requestIsNotSentOnAConnectionThatAnEndedAgentIsClosing() throws Exception {
		Vertx vertx = Vertx.vertx();
		Set<HttpConnection> used = ConcurrentHashMap.newKeySet();
		HttpServer agent = vertx.createHttpServer().requestHandler((request) -> {
			if (!used.add(request.connection())) {
				request.connection().close();
				return;
			}
			request.response()
				.putHeader(Headers.DISPATCH, request.getHeader(Headers.DISPATCH))
				.putHeader(Headers.OUTCOME, Outcome.NOT_RUN.headerValue())
				.end("{}");
		});
		try (AgentClient client = AgentClient.create(vertx)) {
			int port = await(agent.listen(0, "127.0.0.1")).actualPort();
			assertThat(send(client, port, "first")).isInstanceOf(DispatchResult.NotRun.class);
			Thread.sleep(AGENT_NOTICE_MS);
			assertThat(send(client, port, "late")).isInstanceOf(DispatchResult.NotRun.class);
		}
		finally {
			await(vertx.close());
		}
	}

	private static DispatchResult send(AgentClient client, int port, String id) throws Exception {
		CallerRequest request = new CallerRequest(Organisation.getDefaultInstance(), Service.getDefaultInstance(),
				HttpMethod.GET, "/x", Buffer.buffer(), "normal", Clock.system().monotonicMs() + 10_000, "", 0);
		Dispatch dispatch = new Dispatch(id, request, "", 1, "", Fingerprint.of("s", "/x", new byte[0]), false,
				Clock.system());
		return await(client.send(Address.newBuilder().setIp("127.0.0.1").setPort(port).build(), dispatch));
	}

	private static <T> T await(Future<T> future) throws Exception {
		return future.toCompletionStage().toCompletableFuture().get(5, TimeUnit.SECONDS);
	}

}
