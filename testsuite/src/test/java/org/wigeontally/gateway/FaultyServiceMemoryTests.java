package org.wigeontally.gateway;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.atomic.AtomicBoolean;

import io.vertx.core.Future;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClient;
import io.vertx.core.http.HttpClientOptions;
import io.vertx.core.http.PoolOptions;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

import org.wigeontally.platform.standin.FakeBackend;
import org.wigeontally.platform.standin.TestCaller;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against an entry that keeps the endless responses of one faulty service until it
 * has no memory left, so that requests for other services get no answer.
 */
public class FaultyServiceMemoryTests {

	private static final int FAULTY_BACKENDS = 4;

	private static final int FAULTY_CALLS = 80;

	private static final int SOUND_CALLS = 40;

	private static final int LARGE_BODIES = 60;

	private static final int LARGE_BODY_BYTES = 4_000_000;

	private GatewayFixture fixture;

	private ShippedProcess entry;

	private Path log;

	private HttpClient client;

	private final AtomicBoolean stopped = new AtomicBoolean();

	@BeforeMethod
	public void start() throws Exception {
		this.stopped.set(false);
		this.fixture = new GatewayFixture();
		this.fixture.writeConfiguration();
		this.log = Files.createTempFile("entry", ".log");
		this.client = this.fixture.vertx()
			.createHttpClient(new HttpClientOptions(), new PoolOptions().setHttp1MaxSize(FAULTY_CALLS + SOUND_CALLS));
	}

	@AfterMethod(alwaysRun = true)
	public void stop() throws Exception {
		this.stopped.set(true);
		this.entry.close();
		this.fixture.close();
		Files.delete(this.log);
	}

	@DataProvider
	public Object[][] framings() {
		return new Object[][] { { "without length" }, { "in chunks" } };
	}

	private void startEntryAndAwait(String route) throws Exception {
		this.entry = ShippedProcess.start(this.fixture.store().port(), ShippedProcess.deployedMemoryOptions(),
				this.log);
		GatewayFixture.awaitTrue(() -> {
			try {
				return status(send("/" + route + "/x", "probe-" + System.nanoTime())) == 200;
			}
			catch (Exception ex) {
				return false;
			}
		});
	}

	private Future<TestCaller.Response> send(String path, String id) {
		return TestCaller.sendRequest(this.client, this.entry.front(), path, id, GatewayFixture.API_KEY, "body");
	}

	private int status(Future<TestCaller.Response> call) throws Exception {
		try {
			return GatewayFixture.await(call).status();
		}
		catch (ExecutionException ex) {
			return 0;
		}
	}

	@Test(dataProvider = "framings")
	public void requestsForOtherServicesAreServed(String framing) throws Exception {
		boolean chunked = framing.equals("in chunks");
		String headEnd = chunked ? "Transfer-Encoding: chunked\r\n\r\n" : "\r\n";
		String filler = "a".repeat(64_000);
		Buffer bytes = Buffer.buffer(chunked ? FakeBackend.chunk(filler) : filler);
		for (int i = 0; i < FAULTY_BACKENDS; i++) {
			this.fixture.startBackend("desk-" + i, "desk", "zone-a", (arrival, socket) -> {
				socket.write(FakeBackend.signedResponseHead(arrival) + headEnd);
				FakeBackend.writeWithoutEnd(socket, bytes, this.stopped);
			});
		}
		this.fixture.startBackend("engine-1", "engines", "zone-a", (arrival, socket) -> socket
			.write(FakeBackend.partialEventStream(arrival, "s", 0, 3) + FakeBackend.LAST_CHUNK));
		startEntryAndAwait("events");
		List<Future<TestCaller.Response>> faulty = new ArrayList<>();
		for (int i = 0; i < FAULTY_CALLS; i++) {
			faulty.add(send("/once/x", "faulty-" + i));
		}
		List<Integer> soundStatuses = new ArrayList<>();
		for (int i = 0; i < SOUND_CALLS; i++) {
			soundStatuses.add(status(send("/events/x", "sound-" + i)));
		}
		List<Integer> faultyStatuses = new ArrayList<>();
		for (Future<TestCaller.Response> call : faulty) {
			faultyStatuses.add(status(call));
		}
		assertThat(Files.readString(this.log).contains("OutOfMemoryError")).as(framing).isFalse();
		assertThat(soundStatuses).as(framing).containsOnly(200);
		assertThat(faultyStatuses).as(framing).allMatch((status) -> status >= 500 && status <= 504);
		assertThat(this.fixture.get(this.entry.ready(), TestCaller.READINESS_PATH).status()).isEqualTo(200);
	}

	/**
	 * Guards against bodies that together fill the memory, and against a request that is
	 * forwarded although a part of its body was lost.
	 */
	@Test
	public void largeBodiesAreRejectedOrForwardedWhole() throws Exception {
		FakeBackend backend = this.fixture.startBackend("desk-1", "desk", "zone-a",
				GatewayFixture.respondWithSuccess("ok"));
		startEntryAndAwait("plain");
		String body = "b".repeat(LARGE_BODY_BYTES);
		List<Future<TestCaller.Response>> calls = new ArrayList<>();
		for (int i = 0; i < LARGE_BODIES; i++) {
			calls.add(TestCaller.sendRequest(this.client, this.entry.front(), "/once/x", "large-" + i,
					GatewayFixture.API_KEY, body));
		}
		List<Integer> statuses = new ArrayList<>();
		for (Future<TestCaller.Response> call : calls) {
			statuses.add(status(call));
		}
		assertThat(Files.readString(this.log).contains("OutOfMemoryError")).isFalse();
		assertThat(backend.receivedRequests()
			.stream()
			.filter((arrival) -> arrival.attemptId().startsWith("large"))
			.map((arrival) -> arrival.body().length())).allMatch((length) -> length == LARGE_BODY_BYTES);
		assertThat(statuses).allMatch((status) -> status == 0 || status == 200 || status == 408 || status >= 502);
		assertThat(this.fixture.get(this.entry.ready(), TestCaller.READINESS_PATH).status()).isEqualTo(200);
	}

}
