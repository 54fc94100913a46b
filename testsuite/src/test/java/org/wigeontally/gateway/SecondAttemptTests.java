package org.wigeontally.gateway;

import java.util.ArrayList;
import java.util.List;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.atomic.AtomicInteger;

import io.vertx.core.Future;
import io.vertx.core.json.JsonObject;
import io.vertx.core.net.NetSocket;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

import org.wigeontally.platform.standin.FakeBackend;
import org.wigeontally.platform.standin.FakeConfiguration;
import org.wigeontally.platform.standin.TestCaller;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Requests with several attempts at once, since the earlier ones are silent or must not
 * begin any more.
 */
public class SecondAttemptTests {

	private static final long ROUTE_TIMEOUT_MS = 2_900;

	private static final long SILENCE_MS = 1_700;

	private GatewayFixture fixture;

	@BeforeMethod
	public void start() throws Exception {
		this.fixture = new GatewayFixture();
		this.fixture.writeConfigurationWithTimeout(ROUTE_TIMEOUT_MS);
	}

	@AfterMethod(alwaysRun = true)
	public void stop() throws Exception {
		this.fixture.close();
	}

	private static String begin(FakeBackend.ReceivedRequest arrival, int end) {
		return FakeBackend.eventStreamHead(arrival, FakeBackend.signatureHeader("s1") + FakeBackend.loadHeader(1, 16))
				+ FakeBackend.eventChunks(0, end);
	}

	/** A successor begins with something that is no new event, then waits. */
	@DataProvider
	public Object[][] beginnings() {
		return new Object[][] { { "comment", FakeBackend.chunk(": wait\n\n") },
				{ "repeated event", FakeBackend.eventChunks(0, 1) } };
	}

	private static void beginOnly(FakeBackend.ReceivedRequest arrival, NetSocket socket, String beginning) {
		socket.write(FakeBackend.eventStreamHead(arrival, FakeBackend.signatureHeader("s2")) + beginning);
	}

	/**
	 * The end of the first stream must count although the successor has sent something.
	 */
	@Test(dataProvider = "beginnings")
	public void streamEndsAfterASilenceBeforeItsEnd(String name, String beginning) throws Exception {
		this.fixture.startPair("engines", (arrival, socket) -> {
			socket.write(begin(arrival, 6));
			this.fixture.later(SILENCE_MS, () -> socket.write(FakeBackend.LAST_CHUNK));
		}, (arrival, socket) -> beginOnly(arrival, socket, beginning));
		TestCaller.Response response = this.fixture.call("events");
		assertThat(response.status()).isEqualTo(200);
		assertThat(response.body()).startsWith(FakeBackend.events(0, 6));
	}

	/** Guards against a cut of a stream whose ids are offsets. */
	@Test(dataProvider = "beginnings")
	public void streamGoesOnWithALargerStep(String name, String beginning) throws Exception {
		this.fixture.startPair("engines", (arrival, socket) -> {
			socket.write(begin(arrival, 3));
			this.fixture.later(SILENCE_MS,
					() -> socket.write(FakeBackend.chunk("id: 9\ndata: e9\n\n") + FakeBackend.LAST_CHUNK));
		}, (arrival, socket) -> beginOnly(arrival, socket, beginning));
		TestCaller.Response response = this.fixture.call("events");
		assertThat(response.status()).isEqualTo(200);
		assertThat(response.body()).endsWith("id: 9\ndata: e9\n\n");
	}

	/** Guards against waiting for the silent attempt with an answer at hand. */
	@Test
	public void callerErrorIsDeliveredAtOnce() throws Exception {
		this.fixture.startPair("desk", (arrival, socket) -> {
		}, (arrival, socket) -> socket
			.write(FakeBackend.response(arrival, "404 Not Found", FakeBackend.signatureHeader("s2"), "none")));
		long startMs = System.nanoTime() / 1_000_000;
		TestCaller.Response response = this.fixture.call("plain");
		assertThat(response.status()).isEqualTo(404);
		assertThat(System.nanoTime() / 1_000_000 - startMs).isLessThan(1_200);
	}

	/**
	 * Guards against new requests for a backend server whose requests have all timed out.
	 */
	@Test
	public void darkServerIsAvoidedAfterItsRequestsTimedOut() throws Exception {
		FakeBackend dark = this.fixture.startBackend("dark", "desk", "zone-a", (arrival, socket) -> {
		});
		this.fixture.startEntry();
		this.fixture.awaitReady(0);
		List<Future<TestCaller.Response>> responses = new ArrayList<>();
		for (int number = 0; number < 10; number++) {
			responses.add(send("plain", "first-" + number));
		}
		for (Future<TestCaller.Response> response : responses) {
			assertThat(GatewayFixture.await(response).status()).isEqualTo(504);
		}
		assertThat(dark.receivedRequests()).hasSize(10);
		FakeBackend sound = this.fixture.startBackend("sound", "desk", "zone-a",
				GatewayFixture.respondWithSuccess("ok"));
		Thread.sleep(300);
		for (int number = 0; number < 20; number++) {
			send("plain", "second-" + number);
		}
		Thread.sleep(300);
		assertThat(dark.receivedRequests().size() - 10).isLessThan(5);
	}

	/** Guards against attempts that outlive their request. */
	@Test
	public void twoConnectionsAreClosedWhenTheRequestTimesOut() throws Exception {
		List<FakeBackend> engines = new ArrayList<>();
		for (int number = 0; number < 2; number++) {
			engines.add(this.fixture.startBackend("backend-" + number, "engines", "zone-a", (arrival, socket) -> {
			}));
		}
		this.fixture.startEntry();
		this.fixture.awaitReady(0);
		assertThat(this.fixture.call("events").status()).isEqualTo(504);
		assertThat(engines).allMatch((engine) -> engine.receivedRequests().size() == 1);
		GatewayFixture.awaitTrue(() -> engines.stream().allMatch((engine) -> engine.openConnectionCount() == 0));
	}

	/**
	 * Two dark servers must not use up the time of a request that a third one can serve.
	 */
	@Test
	public void thirdServerIsTriedWhenTwoAreDark() throws Exception {
		JsonObject configuration = FakeConfiguration.create(2, List.of(), ROUTE_TIMEOUT_MS);
		configuration.getJsonArray("routes").forEach((route) -> ((JsonObject) route).put("max-attempts", 3));
		this.fixture.store().write("op", "config", configuration);
		AtomicInteger arrivals = new AtomicInteger();
		for (int number = 0; number < 3; number++) {
			this.fixture.startBackend("backend-" + number, "desk", "zone-a", (arrival, socket) -> {
				if (arrivals.getAndIncrement() == 2) {
					socket.write(FakeBackend.signedResponse(arrival, "third"));
				}
			});
		}
		this.fixture.startEntry();
		this.fixture.awaitReady(0);
		assertThat(this.fixture.call("plain").status()).isEqualTo(200);
	}

	/** Guards against a comment that is taken for the begin of a request. */
	@Test
	public void commentBeforeTheFirstEventIsNoBegin() throws Exception {
		Queue<Long> begins = new ConcurrentLinkedQueue<>();
		for (int number = 0; number < 8; number++) {
			this.fixture.startBackend("old-" + number, "engines", "zone-a", (arrival, socket) -> {
				beginOnly(arrival, socket, FakeBackend.chunk(": wait\n\n"));
				this.fixture.later(1_900, () -> socket.write(FakeBackend.eventChunks(0, 3) + FakeBackend.LAST_CHUNK)
					.onSuccess((written) -> begins.add(System.nanoTime() / 1_000_000)));
			});
		}
		this.fixture.startEntryWithVersionBound(3_000);
		this.fixture.awaitReady(0);
		long announcedMs = System.nanoTime() / 1_000_000;
		this.fixture.announceVersion(2);
		Thread.sleep(1_450);
		for (int number = 0; number < 3; number++) {
			send("events", "late-" + number);
		}
		Thread.sleep(2_500);
		assertThat(begins).allSatisfy((ms) -> assertThat(ms - announcedMs).isLessThanOrEqualTo(3_000));
	}

	/** Guards against leaving out a backend server that works on a long request. */
	@Test
	public void serverWithALongRequestCanBeTheSecond() throws Exception {
		this.fixture.writeConfigurationWithTimeout(4_000);
		FakeBackend sound = this.fixture.startBackend("sound", "desk", "zone-a", (arrival, socket) -> {
			if (arrival.uri().startsWith("/once")) {
				this.fixture.later(3_500, () -> socket.write(FakeBackend.signedResponse(arrival, "long")));
			}
			else {
				socket.write(FakeBackend.signedResponse(arrival, "short"));
			}
		});
		this.fixture.startEntry();
		this.fixture.awaitReady(0);
		send("once", "long");
		GatewayFixture.awaitTrue(() -> !sound.receivedRequests().isEmpty());
		FakeBackend dark = this.fixture.startBackend("dark", "desk", "zone-a", (arrival, socket) -> {
		});
		Thread.sleep(800);
		long startMs = System.nanoTime() / 1_000_000;
		TestCaller.Response response = this.fixture.call("plain");
		assertThat(response.status()).isEqualTo(200);
		assertThat(System.nanoTime() / 1_000_000 - startMs).isLessThan(1_200);
	}

	/** Guards against a late withdrawal by an event loop that is held up for 400 ms. */
	@Test
	public void requestIsWithdrawnInTimeByABusyEntry() throws Exception {
		Queue<Long> begins = new ConcurrentLinkedQueue<>();
		for (int number = 0; number < 8; number++) {
			this.fixture.startBackend("old-" + number, "engines", "zone-a",
					(arrival, socket) -> this.fixture.later(1_900,
							() -> socket
								.write(FakeBackend.partialEventStream(arrival, "s1", 0, 3) + FakeBackend.LAST_CHUNK)
								.onSuccess((written) -> begins.add(System.nanoTime() / 1_000_000))));
		}
		this.fixture.startEntryWithVersionBound(3_000);
		this.fixture.awaitReady(0);
		long announcedMs = System.nanoTime() / 1_000_000;
		this.fixture.announceVersion(2);
		Thread.sleep(1_080);
		for (int number = 0; number < 12; number++) {
			send("events", "late-" + number);
			Thread.sleep(5);
		}
		Thread.sleep(Math.max(0, announcedMs + 2_690 - System.nanoTime() / 1_000_000));
		java.lang.reflect.Field loop = GatewayDaemon.class.getDeclaredField("eventLoop");
		loop.setAccessible(true);
		((io.vertx.core.Context) loop.get(this.fixture.entry(0))).runOnContext((result) -> {
			long untilNs = System.nanoTime() + 400_000_000L;
			while (System.nanoTime() < untilNs) {
				Thread.onSpinWait();
			}
		});
		Thread.sleep(1_500);
		assertThat(begins).allSatisfy((ms) -> assertThat(ms - announcedMs).isLessThanOrEqualTo(3_000));
	}

	private Future<TestCaller.Response> send(String route, String id) {
		return this.fixture.send(0, route, id + "-" + System.nanoTime(), GatewayFixture.API_KEY, "body");
	}

}
