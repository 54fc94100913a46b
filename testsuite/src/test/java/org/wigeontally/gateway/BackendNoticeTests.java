package org.wigeontally.gateway;

import java.util.List;
import java.util.Map;

import io.vertx.core.buffer.Buffer;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

import org.wigeontally.fleet.BackendHealth;
import org.wigeontally.platform.standin.FakeBackend;
import org.wigeontally.platform.standin.TestCaller;
import org.wigeontally.platform.wire.BackendNotice;
import org.wigeontally.platform.wire.WireNames;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Backend servers that say in a response that they stop soon, or that ask for a pause.
 */
public class BackendNoticeTests {

	/** Time after the first notice in which requests may still arrive. */
	private static final long PAUSE_STARTS_AFTER_MS = 500;

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

	private static FakeBackend.Behaviour respondLeaving(String body) {
		return (arrival, socket) -> socket.write(Buffer.buffer(FakeBackend.response(arrival, "200 OK",
				FakeBackend.signatureHeader("s") + FakeBackend.LEAVING_HEADER, body)));
	}

	/**
	 * The store still lists the backend server as ready. After its notice it gets nothing
	 * from this entry, nor, after an exchange, from the other one. A new process with the
	 * same id is another backend server.
	 */
	@Test
	public void leavingBackendGetsNoFurtherRequests() throws Exception {
		FakeBackend leaving = this.fixture.startBackend("desk-1", "desk", "zone-a", respondLeaving("leaving"));
		this.fixture.startEntry();
		this.fixture.startEntry();
		this.fixture.awaitStatus(0, "plain", 200);
		this.fixture.startBackend("desk-2", "desk", "zone-b", GatewayFixture.respondWithSuccess("other"));
		this.fixture.awaitStatus(1, "plain", 200);
		GatewayFixture.awaitTrue(() -> bodyOfCall(0).equals("other") && bodyOfCall(1).equals("other"));
		Thread.sleep(2 * EntryExchange.INTERVAL_MS);
		int arrivals = leaving.receivedRequests().size();
		for (int i = 0; i < 20; i++) {
			assertThat(bodyOfCall(i % 2)).isEqualTo("other");
		}
		assertThat(leaving.receivedRequests()).hasSize(arrivals);
		leaving.setBehaviour(GatewayFixture.respondWithSuccess("restarted"));
		this.fixture.store()
			.write("servers", "desk-1", leaving.registration("desk", "zone-a", "ready", 0).put("born", 2));
		GatewayFixture.awaitTrue(() -> bodyOfCall(0).equals("restarted"));
	}

	private String bodyOfCall(int entry) {
		try {
			return this.fixture.call(entry, "plain", "id-" + System.nanoTime(), GatewayFixture.API_KEY, "").body();
		}
		catch (Exception ex) {
			return ex.toString();
		}
	}

	/**
	 * The only backend server asks for a pause. Callers are refused at once with the time
	 * of its end, requests that may not be repeated as truly as others, and the backend
	 * server gets at most two requests between half a second after it and its end.
	 */
	@Test
	public void pausedBackendGetsNothingUntilThePauseEnds() throws Exception {
		FakeBackend backend = this.fixture.startBackend("desk-1", "desk", "zone-a",
				GatewayFixture.respondWithSuccess("ok"));
		this.fixture.startEntry();
		this.fixture.awaitStatus(0, "once", 200);
		backend.setBehaviour(
				(arrival, socket) -> socket.write(FakeBackend.notRunResponse(arrival, "Retry-After: 1.8\r\n")));
		assertThat(this.fixture.call("once").status()).isEqualTo(503);
		long pausedAtMs = System.currentTimeMillis();
		Thread.sleep(PAUSE_STARTS_AFTER_MS);
		int arrivals = backend.receivedRequests().size();
		backend.setBehaviour(GatewayFixture.respondWithSuccess("ok"));
		while (System.currentTimeMillis() < pausedAtMs + 1_700) {
			long startMs = System.currentTimeMillis();
			TestCaller.Response refused = this.fixture.call("plain");
			assertThat(System.currentTimeMillis() - startMs).isLessThan(200);
			assertThat(refused.status()).isEqualTo(503);
			assertThat(Double.parseDouble(refused.retryAfter())).isLessThanOrEqualTo(1.0);
			Thread.sleep(50);
		}
		assertThat(backend.receivedRequests().size() - arrivals).isLessThanOrEqualTo(2);
		this.fixture.awaitStatus(0, "plain", 200);
	}

	@Test
	public void requestsInFlightAreRaisedStepByStepAfterAPause() {
		BackendHealth health = BackendHealth.create();
		health.recordPause(1_000, 2_000);
		assertThat(health.isPaused(2_999, 0)).isTrue();
		assertThat(health.isPaused(3_000, 0)).isFalse();
		assertThat(health.isPaused(3_000, 1)).isTrue();
		assertThat(health.isPaused(3_250, 2)).isFalse();
		assertThat(health.isPaused(3_250, 3)).isTrue();
		assertThat(health.isPaused(4_000, 500)).isFalse();
	}

	@DataProvider
	public Object[][] notices() {
		return new Object[][] { { 503, Map.of(WireNames.RETRY_AFTER, "0.25"), new BackendNotice(false, 250, 0, null) },
				{ 503, Map.of(WireNames.RETRY_AFTER, "-3"), new BackendNotice(false, 0, 0, "retry-after \"-3\"") },
				{ 503, Map.of(WireNames.RETRY_AFTER, "NaN"), new BackendNotice(false, 0, 0, "retry-after \"NaN\"") },
				{ 503, Map.of(WireNames.RETRY_AFTER, "1e18"),
						new BackendNotice(false, BackendNotice.MAX_PAUSE_MS, 0, "retry-after \"1e18\"") },
				{ 503, Map.of(WireNames.RETRY_AFTER, "Fri, 04 Dec 2026 10:00:00 GMT"),
						new BackendNotice(false, 0, 0, "retry-after \"Fri, 04 Dec 2026 10:00:00 GMT\"") },
				{ 200, Map.of(WireNames.RETRY_AFTER, "3"), BackendNotice.NONE },
				{ 200, Map.of(WireNames.LEAVING, "1"), new BackendNotice(true, 0, 0, null) },
				{ 200, Map.of(WireNames.LEAVING, "0"), new BackendNotice(false, 0, 0, null) },
				{ 200, Map.of(WireNames.LEAVING, "soon"), new BackendNotice(true, 0, 0, "server-leaving \"soon\"") },
				{ 421, Map.of(WireNames.LEAVING, "1"), BackendNotice.FOREIGN } };
	}

	private static BackendNotice decode(int status, Map<String, String> headers) {
		return BackendNotice.decode(status,
				(name) -> headers.containsKey(name) ? List.of(headers.get(name)) : List.of());
	}

	@DataProvider
	public Object[][] limits() {
		double unknown = BackendNotice.UNKNOWN_LIMIT;
		return new Object[][] { { List.of(), 0.0 }, { List.of("1.9"), 1.9 }, { List.of(" 400 "), 400.0 },
				{ List.of("0.1"), 0.1 }, { List.of(""), unknown }, { List.of("2", "3"), unknown },
				{ List.of("-1"), unknown }, { List.of("0"), unknown }, { List.of("0.000"), unknown },
				{ List.of("1e9"), unknown }, { List.of("1000000000"), unknown }, { List.of("NaN"), unknown },
				{ List.of("0x1p3"), unknown }, { List.of("9".repeat(5_000)), unknown } };
	}

	@Test(dataProvider = "limits")
	public void limitIsDecodedAndUnusableValuesTellNothing(List<String> values, double expected) {
		BackendNotice notice = BackendNotice.decode(200, (name) -> name.equals(WireNames.LIMIT) ? values : List.of());
		assertThat(notice.limitPerSecond()).isEqualTo(expected);
		if (expected == BackendNotice.UNKNOWN_LIMIT) {
			assertThat(notice.unreadable()).startsWith("server-limit \"").hasSizeLessThan(100);
		}
		else {
			assertThat(notice.unreadable()).isNull();
		}
	}

	@Test(dataProvider = "notices")
	public void headersAreDecoded(int status, Map<String, String> headers, BackendNotice expected) {
		assertThat(decode(status, headers)).isEqualTo(expected);
	}

}
