package org.wigeontally.gateway;

import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;

import io.netty.handler.codec.http.HttpHeaders;
import io.vertx.core.Vertx;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

import org.wigeontally.misc.Clock;
import org.wigeontally.platform.standin.FakeBackend;
import org.wigeontally.platform.wire.WireNames;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against a request that never ends because whatever reads its response throws.
 */
public class FailingHandlerTests {

	private Vertx vertx;

	@BeforeMethod
	public void start() {
		this.vertx = Vertx.vertx();
	}

	@AfterMethod(alwaysRun = true)
	public void stop() throws Exception {
		GatewayFixture.await(this.vertx.close());
	}

	@DataProvider
	public Object[][] failures() {
		return new Object[][] { { new IllegalStateException("planted") }, { new OutOfMemoryError("planted") },
				{ new StackOverflowError("planted") } };
	}

	@Test(dataProvider = "failures")
	public void attemptEndsIfItsHandlerThrows(Throwable failure) throws Exception {
		FakeBackend backend = GatewayFixture
			.await(FakeBackend.start(this.vertx, "desk-1", GatewayFixture.respondWithSuccess("ok")));
		CompletableFuture<String> ended = new CompletableFuture<>();
		this.vertx.createNetClient().connect(backend.port(), "127.0.0.1").onSuccess((socket) -> {
			BackendConnection connection = new BackendConnection(socket, Clock.system(), () -> {
			});
			BackendRequest request = new BackendRequest("POST", "/x", List.of(Map.entry(WireNames.ATTEMPT_ID, "id-1")),
					new byte[0], "id-1");
			connection.send(request, new ThrowingHandler(failure, ended), () -> {
			});
		});
		assertThat(ended.get(2, TimeUnit.SECONDS)).contains("planted");
		GatewayFixture.awaitTrue(() -> backend.openConnectionCount() == 0);
	}

	private record ThrowingHandler(Throwable failure,
			CompletableFuture<String> ended) implements BackendResponseHandler {

		@Override
		public void headReceived(int status, HttpHeaders headers) {
		}

		@Override
		public void bodyReceived(byte[] bytes) {
			if (this.failure instanceof Error error) {
				throw error;
			}
			throw (RuntimeException) this.failure;
		}

		@Override
		public void responseEnded(boolean delimitedByClose) {
			this.ended.complete("complete");
		}

		@Override
		public void connectionFailed(String reason) {
			this.ended.complete(reason);
		}

	}

}
