package org.wigeontally.gateway;

import java.util.ArrayList;
import java.util.List;

import io.vertx.core.Future;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

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

}
