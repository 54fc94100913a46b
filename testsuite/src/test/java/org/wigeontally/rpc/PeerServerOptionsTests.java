package org.wigeontally.rpc;

import java.net.Socket;
import java.util.concurrent.TimeUnit;

import io.vertx.core.Vertx;
import io.vertx.core.http.HttpServer;
import org.testng.annotations.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests of the servers that the project's own processes call.
 */
public class PeerServerOptionsTests {

	private static final int TIMEOUT_MS = 10_000;

	/** Each host that loses power would occupy descriptors until the process restarts. */
	@Test
	public void connectionOfAVanishedProcessIsClosed() throws Exception {
		Vertx vertx = Vertx.vertx();
		HttpServer server = vertx.createHttpServer(PeerServerOptions.create(1))
			.requestHandler((request) -> request.response().end())
			.listen(0, "127.0.0.1")
			.toCompletionStage()
			.toCompletableFuture()
			.get(TIMEOUT_MS, TimeUnit.MILLISECONDS);
		try (Socket socket = new Socket("127.0.0.1", server.actualPort())) {
			socket.setSoTimeout(TIMEOUT_MS);
			assertThat(socket.getInputStream().read()).isEqualTo(-1);
		}
		finally {
			vertx.close();
		}
	}

	@Test
	public void silentConnectionsAreLimitedInTime() {
		assertThat(PeerServerOptions.create().getIdleTimeout()).isPositive();
	}

}
