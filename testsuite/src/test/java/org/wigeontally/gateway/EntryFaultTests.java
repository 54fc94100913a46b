package org.wigeontally.gateway;

import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.net.NetSocket;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

import org.wigeontally.platform.standin.FakeBackend;
import org.wigeontally.platform.standin.TestCaller;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against a request that gets no answer because the entry itself throws while it
 * handles it. The clock is planted: it throws once, at each of its calls in turn.
 */
public class EntryFaultTests {

	private static final long ROUTE_TIMEOUT_MS = 3_000;

	/** A request that waits for its timeout takes twice as long. */
	private static final long AT_ONCE_MS = ROUTE_TIMEOUT_MS / 2;

	private static final int MAX_CALLS = 60;

	private GatewayFixture fixture;

	private FailingClock clock;

	@BeforeMethod
	public void start() throws Exception {
		this.clock = FailingClock.create();
		this.fixture = new GatewayFixture(Vertx.vertx(), this.clock);
		this.fixture.writeConfigurationWithTimeout(ROUTE_TIMEOUT_MS);
		for (int number = 0; number < MAX_CALLS; number++) {
			this.fixture.startBackend("desk-" + number, "desk", "zone-a", EntryFaultTests::respond);
			this.fixture.startBackend("engine-" + number, "engines", "zone-a", EntryFaultTests::respond);
		}
		this.fixture.startEntry();
		this.fixture.awaitStatus(0, "once", 200);
	}

	@AfterMethod(alwaysRun = true)
	public void stop() throws Exception {
		this.fixture.close();
	}

	private static void respond(FakeBackend.ReceivedRequest arrival, NetSocket socket) {
		String response = FakeBackend.signedResponse(arrival, "ok");
		if (arrival.attemptId().startsWith("error")) {
			response = FakeBackend.response(arrival, "500 Internal Server Error", "", "");
		}
		if (arrival.uri().startsWith("/events")) {
			response = FakeBackend.partialEventStream(arrival, "s", 0, 2) + FakeBackend.LAST_CHUNK;
		}
		socket.write(Buffer.buffer(response));
	}

	@DataProvider
	public Object[][] requests() {
		return new Object[][] { { "plain", "success" }, { "once", "success" }, { "once", "error" },
				{ "plain", "error" }, { "events", "stream" } };
	}

	@Test(dataProvider = "requests")
	public void requestIsAnsweredAtOnceIfTheEntryThrows(String route, String kind) throws Exception {
		int call = 1;
		do {
			this.clock.failAt(call, RequestRelay.class, BackendAttempt.class, CallerRequestHandler.class);
			try (KeptConnection connection = KeptConnection.open(this.fixture.settings(0).getFront())) {
				long sentAtNs = System.nanoTime();
				int status = connection.exchange(TestCaller.requestText("GET /" + route + "/x", kind + call,
						TestCaller.REMAINING_MS, GatewayFixture.API_KEY, "", ""));
				assertThat((System.nanoTime() - sentAtNs) / 1_000_000).as("%s call %d", kind, call)
					.isLessThan(AT_ONCE_MS);
				assertThat(status).as("%s call %d", kind, call).isIn(200, 500, 502, 503);
			}
		}
		while (this.clock.hasFailed() && call++ < MAX_CALLS);
		assertThat(call).isBetween(5, MAX_CALLS);
		GatewayFixture.awaitTrue(this::isIdle);
	}

	private boolean isIdle() {
		try {
			return this.fixture.get(this.fixture.metricsAddress(0), "/metrics")
				.body()
				.contains("wigeontally_requests_in_flight 0");
		}
		catch (Exception ex) {
			return false;
		}
	}

}
