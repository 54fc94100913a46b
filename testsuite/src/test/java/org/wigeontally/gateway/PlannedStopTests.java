package org.wigeontally.gateway;

import java.util.List;

import io.vertx.core.Future;
import io.vertx.core.buffer.Buffer;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

import org.wigeontally.platform.standin.FakeBackend;
import org.wigeontally.platform.standin.TestCaller;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * An entry that was told to stop neither accepts requests that it cannot finish nor ends
 * without an answer to those that it has accepted.
 */
public class PlannedStopTests {

	private static final int GRACE_S = 3;

	/** A request sent now may last longer than the process, by its route's timeout. */
	private static final long LATE_MS = 1_800;

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

	@DataProvider
	public Object[][] routes() {
		return new Object[][] { { "once" }, { "plain" }, { "events" } };
	}

	private FakeBackend startSlowBackend(String route, long answerMs) throws Exception {
		boolean isStream = route.equals("events");
		return this.fixture.startBackend("backend", isStream ? "engines" : "desk", "zone-a",
				(arrival, socket) -> this.fixture.vertx().setTimer(answerMs, (id) -> {
					String answer = isStream
							? FakeBackend.partialEventStream(arrival, "s", 0, 2) + FakeBackend.LAST_CHUNK
							: FakeBackend.signedResponse(arrival, "ok");
					socket.write(Buffer.buffer(answer));
				}));
	}

	/**
	 * Guards against requests that are accepted late in the grace period and cut when the
	 * process ends.
	 */
	@Test(dataProvider = "routes")
	public void requestThatMayOutlastTheProcessIsRejectedAsNotRun(String route) throws Exception {
		FakeBackend backend = startSlowBackend(route, 50);
		this.fixture.startEntryWithGrace(GRACE_S);
		this.fixture.awaitStatus(0, route, 200);
		Future<Void> ended = this.fixture.terminate(0);
		Thread.sleep(LATE_MS);
		TestCaller.Response response = this.fixture.call(0, route, "late", GatewayFixture.API_KEY, "late");
		assertThat(response.status()).isEqualTo(503);
		assertThat(Double.parseDouble(response.retryAfter())).isLessThan(0.1);
		assertThat(GatewayFixture.countArrivals(List.of(backend), "late")).isZero();
		GatewayFixture.await(ended);
	}

	/** Guards against rejecting requests that end in time whatever they take. */
	@Test(dataProvider = "routes")
	public void requestThatEndsInTimeIsServedAfterTheSignal(String route) throws Exception {
		startSlowBackend(route, 900);
		this.fixture.startEntryWithGrace(GRACE_S);
		this.fixture.awaitStatus(0, route, 200);
		Future<Void> ended = this.fixture.terminate(0);
		Thread.sleep(400);
		assertThat(this.fixture.call(0, route, "early", GatewayFixture.API_KEY, "early").status()).isEqualTo(200);
		GatewayFixture.await(ended);
	}

	/**
	 * Guards against a process that ends without an answer to a request that was accepted
	 * before the signal. The request was sent, so the answer promises nothing.
	 */
	@Test
	public void requestThatOutlastsTheGracePeriodGetsAnAnswer() throws Exception {
		startSlowBackend("once", 1_200);
		this.fixture.startEntryWithGrace(1);
		this.fixture.awaitStatus(0, "once", 200);
		Future<TestCaller.Response> response = this.fixture.send(0, "once", "long", GatewayFixture.API_KEY, "long");
		Thread.sleep(100);
		Future<Void> ended = this.fixture.terminate(0);
		assertThat(GatewayFixture.await(response).status()).isEqualTo(502);
		GatewayFixture.await(ended);
	}

}
