package org.wigeontally.platform.wire;

import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import org.testng.annotations.Test;

import org.wigeontally.platform.standin.FakeBackend;
import org.wigeontally.schema.generated.Address;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against a store that sends a response without end until the process that called
 * it has no memory left.
 */
public class EndlessPlatformResponseTests {

	@Test
	public void endlessResponseOfTheStoreIsGivenUp() throws Exception {
		Vertx vertx = Vertx.vertx();
		try {
			AtomicBoolean closed = new AtomicBoolean();
			Buffer bytes = Buffer.buffer("a".repeat(64_000));
			int port = vertx.createNetServer().connectHandler((socket) -> {
				socket.closeHandler((v) -> closed.set(true));
				socket.handler((request) -> {
					socket.write("HTTP/1.1 200 OK\r\n\r\n");
					FakeBackend.writeWithoutEnd(socket, bytes, closed);
				});
			}).listen(0, "127.0.0.1").toCompletionStage().toCompletableFuture().get(5, TimeUnit.SECONDS).actualPort();
			StoreClient client = StoreClient.create(vertx,
					Address.newBuilder().setIp("127.0.0.1").setPort(port).build());
			Throwable failure = client.write(StoreTopic.ENTRIES, "key", new byte[1])
				.map((page) -> (Throwable) null)
				.recover(Future::succeededFuture)
				.toCompletionStage()
				.toCompletableFuture()
				.get(5, TimeUnit.SECONDS);
			assertThat(failure).hasMessageContaining("more than " + PlatformHttpClient.MAX_RESPONSE_BYTES + " bytes");
			Thread.sleep(200);
			assertThat(closed.get()).isTrue();
		}
		finally {
			vertx.close().toCompletionStage().toCompletableFuture().get(5, TimeUnit.SECONDS);
		}
	}

}
