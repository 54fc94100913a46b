package org.wigeontally.gateway;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

import io.vertx.core.Future;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

import org.wigeontally.platform.standin.FakeBackend;
import org.wigeontally.platform.standin.TestCaller;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Backend servers that name a limit for the requests of all entries together, with
 * running entries.
 */
public class ServerLimitTests {

	private static final int ENTRIES = 3;

	private static final double LIMIT_PER_SECOND = 2;

	/** Time after which the limit must be kept to. */
	private static final long CONTACT_MS = 3_000;

	private static final long LIMITED_MS = 6_000;

	/** The limit for four seconds, and one request for each entry. */
	private static final int MAX_ARRIVALS = (int) (4 * LIMIT_PER_SECOND) + ENTRIES;

	private static final long SEND_INTERVAL_MS = 15;

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

	private void startEntries() throws Exception {
		for (int i = 0; i < ENTRIES; i++) {
			this.fixture.startEntry();
		}
		for (int i = 0; i < ENTRIES; i++) {
			this.fixture.awaitStatus(i, "plain", 200);
			this.fixture.awaitStatus(i, "events", 200);
		}
	}

	private List<Future<TestCaller.Response>> sendFor(long lengthMs, String... routes) throws Exception {
		List<Future<TestCaller.Response>> responses = new ArrayList<>();
		long endMs = LimitedBackend.nowMs() + lengthMs;
		for (int i = 0; LimitedBackend.nowMs() < endMs; i++) {
			responses.add(this.fixture.send(i / routes.length % ENTRIES, routes[i % routes.length], "id-" + i,
					GatewayFixture.API_KEY, "body-" + i));
			Thread.sleep(SEND_INTERVAL_MS);
		}
		return responses;
	}

	/**
	 * Limits in whole, streamed and failed responses, with other backend servers that
	 * have room. Every request is served there instead, and the limits are used.
	 */
	@Test
	public void limitedBackendsGetNoMoreThanTheyNamedFromAllEntriesTogether() throws Exception {
		LimitedBackend plain = new LimitedBackend(LimitedBackend.Answer.WHOLE);
		LimitedBackend failing = new LimitedBackend(LimitedBackend.Answer.ERROR);
		LimitedBackend streaming = new LimitedBackend(LimitedBackend.Answer.STREAM);
		this.fixture.startBackend("desk-0", "desk", "zone-a", new LimitedBackend(LimitedBackend.Answer.WHOLE));
		this.fixture.startBackend("desk-1", "desk", "zone-a", plain);
		this.fixture.startBackend("engine-0", "engines", "zone-a", new LimitedBackend(LimitedBackend.Answer.STREAM));
		this.fixture.startBackend("engine-1", "engines", "zone-a", streaming);
		startEntries();
		this.fixture.startBackend("desk-2", "desk", "zone-a", failing);
		List<LimitedBackend> limited = List.of(plain, failing, streaming);
		limited.forEach((backend) -> backend.setLimit("" + LIMIT_PER_SECOND));
		long namedAtMs = LimitedBackend.nowMs();
		List<Future<TestCaller.Response>> responses = sendFor(CONTACT_MS + LIMITED_MS, "plain", "events");
		for (Future<TestCaller.Response> response : responses) {
			assertThat(GatewayFixture.await(response).status()).isEqualTo(200);
		}
		long fromMs = namedAtMs + CONTACT_MS;
		assertThat(limited.stream().map((backend) -> backend.mostArrivals(fromMs)).toList())
			.allMatch((arrivals) -> arrivals <= MAX_ARRIVALS);
		assertThat(plain.arrivals(fromMs, fromMs + LIMITED_MS))
			.isGreaterThanOrEqualTo((int) (0.9 * LIMIT_PER_SECOND * LIMITED_MS / 1_000));
	}

	/**
	 * The only backend server of a service is limited. Requests beyond the limit are
	 * rejected at once, with different times to return, and those that are sent use it.
	 */
	@Test
	public void requestsBeyondTheLimitOfTheOnlyBackendAreRejectedAtOnce() throws Exception {
		LimitedBackend only = new LimitedBackend(LimitedBackend.Answer.WHOLE);
		FakeBackend desk = this.fixture.startBackend("desk-1", "desk", "zone-a", only);
		this.fixture.startBackend("engine-0", "engines", "zone-a", new LimitedBackend(LimitedBackend.Answer.STREAM));
		startEntries();
		int probes = desk.receivedRequests().size();
		only.setLimit("" + LIMIT_PER_SECOND);
		long namedAtMs = LimitedBackend.nowMs();
		List<Future<TestCaller.Response>> responses = sendFor(CONTACT_MS + LIMITED_MS, "once");
		int served = 0;
		Set<String> returns = new HashSet<>();
		for (Future<TestCaller.Response> future : responses) {
			TestCaller.Response response = GatewayFixture.await(future);
			if (response.status() == 200) {
				served++;
			}
			else {
				assertThat(response.status()).isEqualTo(503);
				returns.add(response.retryAfter());
			}
		}
		long fromMs = namedAtMs + CONTACT_MS;
		assertThat(only.mostArrivals(fromMs)).isLessThanOrEqualTo(MAX_ARRIVALS);
		assertThat(only.arrivals(fromMs, fromMs + LIMITED_MS))
			.isGreaterThanOrEqualTo((int) (0.9 * LIMIT_PER_SECOND * LIMITED_MS / 1_000));
		assertThat(desk.receivedRequests()).hasSize(probes + served);
		assertThat(returns).hasSizeGreaterThan(10);
		assertThat(this.fixture.get(this.fixture.metricsAddress(0), "/backend-limits").body())
			.contains("\"backend\":\"desk-1\"", "\"limit-per-s\":2.0", "\"usable-per-s\":2.0");
		only.setLimit(null);
		GatewayFixture.awaitTrue(() -> countServed("once") == ENTRIES);
	}

	private int countServed(String route) {
		int served = 0;
		for (int i = 0; i < ENTRIES; i++) {
			try {
				String id = "probe-" + System.nanoTime();
				served += (this.fixture.call(i, route, id, GatewayFixture.API_KEY, "").status() == 200) ? 1 : 0;
			}
			catch (Exception ex) {
				return 0;
			}
		}
		return served;
	}

	/** Another process under the same id and address has a limit of its own, or none. */
	@Test
	public void nextProcessOfABackendIsNotLimited() throws Exception {
		LimitedBackend behaviour = new LimitedBackend(LimitedBackend.Answer.WHOLE);
		FakeBackend backend = this.fixture.startBackend("desk-1", "desk", "zone-a", behaviour);
		this.fixture.startEntry();
		this.fixture.awaitStatus(0, "plain", 200);
		behaviour.setLimit("0.1");
		assertThat(this.fixture.call("plain").status()).isEqualTo(200);
		assertThat(this.fixture.call("plain").status()).isEqualTo(503);
		behaviour.setLimit(null);
		this.fixture.store()
			.write("servers", "desk-1", backend.registration("desk", "zone-a", "ready", 0).put("born", 2));
		this.fixture.awaitStatus(0, "plain", 200);
		assertThat(this.fixture.call("plain").status()).isEqualTo(200);
	}

	/** A limit that cannot be read is logged, and the backend server used as before. */
	@Test
	public void unreadableLimitIsNoLimit() throws Exception {
		LimitedBackend behaviour = new LimitedBackend(LimitedBackend.Answer.WHOLE);
		this.fixture.startBackend("desk-1", "desk", "zone-a", behaviour);
		this.fixture.startEntry();
		this.fixture.awaitStatus(0, "plain", 200);
		for (String value : List.of("-1", "NaN", "1e9", "0", "2, 3", "9".repeat(3_000))) {
			behaviour.setLimit(value);
			for (int i = 0; i < 3; i++) {
				assertThat(this.fixture.call("plain").status()).isEqualTo(200);
			}
		}
	}

	/**
	 * The coordinator of the only backend server exchanges news and never answers for
	 * permits, like a process that is paused. Requests are rejected within the time that
	 * an inquiry takes.
	 */
	@Test
	public void silentCoordinatorDoesNotHoldRequests() throws Exception {
		LimitedBackend behaviour = new LimitedBackend(LimitedBackend.Answer.WHOLE);
		this.fixture.startBackend("desk-1", "desk", "zone-a", behaviour);
		this.fixture.startEntry();
		this.fixture.awaitStatus(0, "plain", 200);
		SilentCoordinator coordinator = SilentCoordinator.listen(this.fixture.vertx(), "desk-1",
				this.fixture.settings(0).getControl());
		this.fixture.addEntryAddress(0, coordinator.address());
		GatewayFixture.awaitTrue(coordinator::isKnown);
		Thread.sleep(EntryExchange.INTERVAL_MS);
		behaviour.setLimit("50");
		assertThat(this.fixture.call("plain").status()).isEqualTo(200);
		for (int i = 0; i < 20; i++) {
			long startMs = LimitedBackend.nowMs();
			assertThat(this.fixture.call("plain").status()).isEqualTo(503);
			assertThat(LimitedBackend.nowMs() - startMs).isLessThan(400);
			Thread.sleep(20);
		}
		assertThat(coordinator.inquiries()).isPositive();
	}

}
