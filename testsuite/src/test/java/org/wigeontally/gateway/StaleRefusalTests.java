package org.wigeontally.gateway;

import java.util.List;
import java.util.Map;
import java.util.concurrent.atomic.AtomicBoolean;

import io.vertx.core.json.JsonObject;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

import org.wigeontally.platform.standin.FakeBackend;
import org.wigeontally.platform.standin.FakeConfiguration;
import org.wigeontally.platform.standin.TestCaller;
import org.wigeontally.platform.wire.WireNames;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Backend servers that write a refusal of an earlier request once more. Callers must be
 * told that a request did not run only if the refusal is certain to be the answer to it.
 */
public class StaleRefusalTests {

	private GatewayFixture fixture;

	private FakeBackend first;

	private FakeBackend second;

	@BeforeMethod
	public void start() throws Exception {
		this.second = null;
		this.fixture = new GatewayFixture();
		JsonObject configuration = FakeConfiguration.create(1, List.of());
		configuration.getJsonArray("routes").forEach((route) -> ((JsonObject) route).put("max-attempts", 2));
		this.fixture.store().write("op", "config", configuration);
		this.first = this.fixture.startBackend("desk-1", "desk", "zone-a", GatewayFixture.respondWithSuccess("ok"));
		this.fixture.startEntry();
		this.fixture.awaitStatus(0, "once", 200);
	}

	@AfterMethod(alwaysRun = true)
	public void stop() throws Exception {
		this.fixture.close();
	}

	@DataProvider
	public Object[][] refusals() {
		return new Object[][] { { "503 Service Unavailable", FakeBackend.NOT_RUN_HEADER },
				{ "429 Too Many Requests", FakeBackend.NOT_RUN_HEADER },
				{ "400 Bad Request", FakeBackend.NOT_RUN_HEADER }, { "421 Misdirected Request", "" } };
	}

	/**
	 * The refusal may be that of the request before, and this one runs.
	 */
	@Test(dataProvider = "refusals")
	public void refusalThatNamesNoRequestProvesNothingOnAUsedConnection(String status, String headers)
			throws Exception {
		startSecondBackend();
		AtomicBoolean closed = new AtomicBoolean();
		FakeBackend.Behaviour refuse = (arrival, socket) -> {
			socket.closeHandler((v) -> closed.set(true));
			socket.write(withoutId(FakeBackend.response(arrival, status, headers, "")));
			this.fixture.vertx()
				.setTimer(50, (id) -> socket.write(FakeBackend.signedResponse(arrival, "of " + arrival.attemptId())));
		};
		this.first.setBehaviour(refuse);
		this.second.setBehaviour(refuse);
		int arrivals = countArrivals();
		TestCaller.Response response = this.fixture.call("once");
		assertThat(response.status()).isEqualTo(502);
		assertThat(countArrivals()).isEqualTo(arrivals + 1);
		GatewayFixture.awaitTrue(closed::get);
	}

	@Test
	public void idempotentRequestIsSentElsewhereAfterARefusalThatNamesNoRequest() throws Exception {
		startSecondBackend();
		FakeBackend.Behaviour refuse = (arrival, socket) -> socket
			.write(withoutId(FakeBackend.notRunResponse(arrival, "")));
		this.first.setBehaviour(refuse);
		this.second.setBehaviour(refuse);
		assertThat(this.fixture.call("plain").status()).isEqualTo(502);
		this.second.setBehaviour(GatewayFixture.respondWithSuccess("of the second"));
		assertThat(this.fixture.call("plain").body()).isEqualTo("of the second");
	}

	/** Nor is a success that names no request known to be the answer to it. */
	@Test
	public void successThatNamesNoRequestIsNoAnswerOnAUsedConnection() throws Exception {
		this.first.setBehaviour(
				(arrival, socket) -> socket.write(withoutId(FakeBackend.signedResponse(arrival, "of another"))));
		assertThat(this.fixture.call("once").status()).isEqualTo(502);
	}

	/**
	 * Only one request was sent on the connection, so the refusal is the answer to it.
	 * The next response could not be told from one more copy. The test fails if every
	 * response must name its request.
	 */
	@Test
	public void refusalThatNamesNoRequestCountsOnANewConnection() throws Exception {
		for (int i = 0; i < 2; i++) {
			closeConnections();
			this.first
				.setBehaviour((arrival, socket) -> socket.write(withoutId(FakeBackend.notRunResponse(arrival, ""))));
			assertThat(this.fixture.call("once").status()).isEqualTo(503);
			this.first.setBehaviour(GatewayFixture.respondWithSuccess("ok"));
			GatewayFixture.awaitTrue(() -> this.first.openConnectionCount() == 0);
		}
	}

	/** A connection on which a response named another request is not a new one. */
	@Test
	public void refusalThatNamesNoRequestProvesNothingAfterOneThatNamesAnother() throws Exception {
		closeConnections();
		this.first.setBehaviour((arrival, socket) -> socket
			.write(FakeBackend.notRunResponse(other(), "") + withoutId(FakeBackend.notRunResponse(arrival, ""))));
		assertThat(this.fixture.call("once").status()).isEqualTo(502);
	}

	/**
	 * The refusal of the request before is dropped, whatever its status. The test fails
	 * if ids are not compared.
	 */
	@Test(dataProvider = "refusals")
	public void refusalThatNamesAnotherRequestIsDropped(String status, String headers) throws Exception {
		this.first.setBehaviour((arrival, socket) -> {
			socket.write(FakeBackend.response(other(), status, headers, "busy"));
			this.fixture.vertx().setTimer(50, (id) -> socket.write(FakeBackend.signedResponse(arrival, "own")));
		});
		assertThat(this.fixture.call("once").body()).isEqualTo("own");
	}

	@DataProvider
	public Object[][] severalIds() {
		return new Object[][] { { "other", "own" }, { "own", "other" } };
	}

	@Test(dataProvider = "severalIds")
	public void refusalThatNamesSeveralRequestsProvesNothing(String firstId, String secondId) throws Exception {
		this.first.setBehaviour((arrival, socket) -> socket
			.write(withoutId(FakeBackend.notRunResponse(arrival, idHeader(firstId) + idHeader(secondId)))));
		assertThat(this.fixture.call(0, "once", "own", GatewayFixture.API_KEY, "").status()).isEqualTo(502);
	}

	/** The test fails if a second id is an error in itself. */
	@Test
	public void refusalThatNamesItsRequestTwiceCounts() throws Exception {
		this.first.setBehaviour(
				(arrival, socket) -> socket.write(FakeBackend.notRunResponse(arrival, idHeader(arrival.attemptId()))));
		assertThat(this.fixture.call("once").status()).isEqualTo(503);
	}

	/** The two contradict each other: the request may have run. */
	@Test
	public void signedSuccessThatSaysNotRunIsNotSentAgain() throws Exception {
		startSecondBackend();
		FakeBackend.Behaviour contradict = (arrival, socket) -> socket.write(FakeBackend.response(arrival, "200 OK",
				FakeBackend.signatureHeader("s") + FakeBackend.NOT_RUN_HEADER, "done"));
		this.first.setBehaviour(contradict);
		this.second.setBehaviour(contradict);
		int arrivals = countArrivals();
		assertThat(this.fixture.call("once").status()).isEqualTo(502);
		assertThat(countArrivals()).isEqualTo(arrivals + 1);
	}

	@DataProvider
	public Object[][] errorsThatRan() {
		return new Object[][] { { "500 Internal Server Error", 500 }, { "504 Gateway Timeout", 504 } };
	}

	/** Only refusals can say that a request did not run. */
	@Test(dataProvider = "errorsThatRan")
	public void errorOfARequestThatRanIsNotSentAgain(String status, int code) throws Exception {
		startSecondBackend();
		FakeBackend.Behaviour fail = (arrival, socket) -> socket
			.write(FakeBackend.response(arrival, status, FakeBackend.NOT_RUN_HEADER, "failed"));
		this.first.setBehaviour(fail);
		this.second.setBehaviour(fail);
		int arrivals = countArrivals();
		assertThat(this.fixture.call("once").status()).isEqualTo(code);
		assertThat(countArrivals()).isEqualTo(arrivals + 1);
	}

	@DataProvider
	public Object[][] delaysMs() {
		return new Object[][] { { 0 }, { 50 } };
	}

	/**
	 * Part of a refusal arrives after a complete response. The head of the next response
	 * would be read as its continuation, with the id of the next request.
	 */
	@Test(dataProvider = "delaysMs")
	public void partOfARefusalIsNotJoinedWithTheNextResponse(int delayMs) throws Exception {
		AtomicBoolean begun = new AtomicBoolean();
		this.first.setBehaviour((arrival, socket) -> {
			String response = FakeBackend.signedResponse(arrival, "of " + arrival.attemptId());
			if (begun.getAndSet(true)) {
				socket.write(response);
				return;
			}
			String part = "HTTP/1.1 503 Service Unavailable\r\n" + FakeBackend.NOT_RUN_HEADER + "X-Part: ";
			if (delayMs == 0) {
				socket.write(response + part);
				return;
			}
			socket.write(response);
			this.fixture.vertx().setTimer(delayMs, (id) -> socket.write(part));
		});
		assertThat(this.fixture.call("once").status()).isEqualTo(200);
		Thread.sleep(2 * delayMs + 50);
		TestCaller.Response response = this.fixture.call(0, "once", "next", GatewayFixture.API_KEY, "");
		assertThat(response.status()).isEqualTo(200);
		assertThat(response.body()).isEqualTo("of next");
	}

	/**
	 * A backend server gets a request once, so an earlier refusal of the same request
	 * cannot be the answer to a second sending. The test fails if backend servers that
	 * were tried can be chosen again.
	 */
	@Test
	public void refusedRequestIsNotSentToTheSameBackendAgain() throws Exception {
		this.first.setBehaviour((arrival, socket) -> socket.write(FakeBackend.notRunResponse(arrival, "")));
		int arrivals = countArrivals();
		assertThat(this.fixture.call("plain").status()).isEqualTo(503);
		assertThat(countArrivals()).isEqualTo(arrivals + 1);
	}

	private void startSecondBackend() throws Exception {
		this.second = this.fixture.startBackend("desk-2", "desk", "zone-a", GatewayFixture.respondWithSuccess("ok"));
		// The entry keeps a connection to each of them.
		GatewayFixture.awaitTrue(() -> {
			try {
				this.fixture.call("plain");
				return this.second.openConnectionCount() > 0 && this.first.openConnectionCount() > 0;
			}
			catch (Exception ex) {
				return false;
			}
		});
	}

	private void closeConnections() throws Exception {
		this.first.closeConnections();
		GatewayFixture.awaitTrue(() -> this.first.openConnectionCount() == 0);
		// Lets the entry read the end of its connections.
		Thread.sleep(100);
	}

	private int countArrivals() {
		return this.first.receivedRequests().size()
				+ ((this.second != null) ? this.second.receivedRequests().size() : 0);
	}

	private static FakeBackend.ReceivedRequest other() {
		return new FakeBackend.ReceivedRequest("POST", "/", Map.of("x-attempt-id", "other"), "");
	}

	private static String idHeader(String id) {
		return WireNames.ATTEMPT_ID + ": " + id + "\r\n";
	}

	private static String withoutId(String response) {
		return response.replaceFirst(WireNames.ATTEMPT_ID + ": [^\r]*\r\n", "");
	}

}
