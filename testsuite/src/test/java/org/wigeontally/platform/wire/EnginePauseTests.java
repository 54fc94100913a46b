package org.wigeontally.platform.wire;

import java.util.concurrent.TimeUnit;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

import org.wigeontally.platform.standin.FakeBackend;
import org.wigeontally.schema.generated.Address;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Engines that ask their agent for a pause.
 */
public class EnginePauseTests {

	private Vertx vertx;

	@BeforeMethod
	public void start() {
		this.vertx = Vertx.vertx();
	}

	@AfterMethod(alwaysRun = true)
	public void stop() throws Exception {
		await(this.vertx.close());
	}

	private static <T> T await(Future<T> future) throws Exception {
		return future.toCompletionStage().toCompletableFuture().get(5, TimeUnit.SECONDS);
	}

	/**
	 * The first call is answered only after the second one was told to pause. That answer
	 * was under way and says nothing of the pause.
	 */
	@Test
	public void answerThatWasUnderWayDoesNotEndThePause() throws Exception {
		FakeBackend engine = await(FakeBackend.start(this.vertx, "engine-1", (request, socket) -> {
			String state = FakeBackend.response(request, "200 OK", "", "{}");
			this.vertx.setTimer(300, (id) -> socket.write(Buffer.buffer(state)));
		}));
		Address address = Address.newBuilder().setIp("127.0.0.1").setPort(engine.port()).build();
		EngineClient client = EngineClient.create(this.vertx);
		Future<EngineState> underWay = client.fetchState(address);
		while (engine.receivedRequests().isEmpty()) {
			Thread.sleep(10);
		}
		engine.setBehaviour((request, socket) -> socket
			.write(FakeBackend.response(request, "503 Service Unavailable", "Retry-After: 2\r\n", "")));
		Future<EngineState> refused = client.fetchState(address);
		while (!refused.isComplete()) {
			Thread.sleep(10);
		}
		await(underWay);
		Future<EngineState> paused = client.fetchState(address);
		while (!paused.isComplete()) {
			Thread.sleep(10);
		}
		assertThat(paused.failed()).isTrue();
		assertThat(engine.receivedRequests()).hasSize(2);
	}

}
