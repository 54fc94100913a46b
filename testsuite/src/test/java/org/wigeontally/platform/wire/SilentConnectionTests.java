package org.wigeontally.platform.wire;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;

import io.vertx.core.Context;
import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.Vertx;
import io.vertx.core.net.NetSocket;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

import org.wigeontally.schema.generated.Address;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against a client of the store that waits for one timeout on each of its open
 * connections after all of them have gone silent.
 */
public class SilentConnectionTests {

	private static final int CONNECTIONS = 6;

	/** Far below the timeout of a call. */
	private static final long MAX_CALL_MS = 700;

	private Vertx vertx;

	private Context loop;

	@BeforeMethod
	public void start() {
		this.vertx = Vertx.vertx();
		this.loop = this.vertx.getOrCreateContext();
	}

	@AfterMethod(alwaysRun = true)
	public void stop() throws Exception {
		await(this.vertx.close());
	}

	private static <T> T await(Future<T> future) throws Exception {
		return future.toCompletionStage().toCompletableFuture().get(10, TimeUnit.SECONDS);
	}

	// All calls come from one event loop, as in an entry.
	private Future<Void> write(StoreClient client) {
		Promise<Void> written = Promise.promise();
		this.loop.runOnContext((v) -> client.write(StoreTopic.ENTRIES, "key", new byte[1]).onComplete(written));
		return written.future();
	}

	@Test
	public void oneTimeoutIsEnoughForAllSilentConnections() throws Exception {
		AtomicBoolean slow = new AtomicBoolean(true);
		AtomicInteger accepted = new AtomicInteger();
		AtomicInteger silent = new AtomicInteger();
		int port = await(this.vertx.createNetServer().connectHandler((socket) -> {
			int number = accepted.incrementAndGet();
			socket.handler((bytes) -> {
				if (number > silent.get()) {
					this.vertx.setTimer(slow.get() ? 200 : 1, (id) -> answer(socket));
				}
			});
		}).listen(0, "127.0.0.1")).actualPort();
		StoreClient client = StoreClient.create(this.vertx,
				Address.newBuilder().setIp("127.0.0.1").setPort(port).build());
		List<Future<Void>> calls = new ArrayList<>();
		for (int i = 0; i < CONNECTIONS; i++) {
			calls.add(write(client));
		}
		await(Future.all(calls));
		slow.set(false);
		silent.set(accepted.get());
		assertThat(silent.get()).isEqualTo(CONNECTIONS);
		Thread.sleep(50);
		assertThat(await(write(client).map("answered").otherwise("failed"))).isEqualTo("failed");
		long startMs = System.currentTimeMillis();
		await(write(client));
		assertThat(System.currentTimeMillis() - startMs).isLessThan(MAX_CALL_MS);
	}

	private static void answer(NetSocket socket) {
		socket.write("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}");
	}

	/** Connections that work are kept when a call on another one times out. */
	@Test
	public void connectionThatAnswersMeanwhileIsKept() throws Exception {
		AtomicInteger accepted = new AtomicInteger();
		AtomicInteger silent = new AtomicInteger();
		int port = await(this.vertx.createNetServer().connectHandler((socket) -> {
			int number = accepted.incrementAndGet();
			socket.handler((bytes) -> {
				if (number != silent.get()) {
					answer(socket);
				}
			});
		}).listen(0, "127.0.0.1")).actualPort();
		StoreClient client = StoreClient.create(this.vertx,
				Address.newBuilder().setIp("127.0.0.1").setPort(port).build());
		silent.set(1);
		Future<Void> failing = write(client);
		for (int i = 0; i < 18; i++) {
			Thread.sleep(100);
			await(write(client));
		}
		assertThat(await(failing.map("answered").otherwise("failed"))).isEqualTo("failed");
		await(write(client));
		assertThat(accepted.get()).isEqualTo(2);
	}

}
