package org.wigeontally.gateway;

import java.io.IOException;
import java.net.Socket;
import java.util.List;

import io.vertx.core.Future;
import io.vertx.core.buffer.Buffer;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

import org.wigeontally.platform.standin.FakeBackend;
import org.wigeontally.platform.standin.TestCaller;
import org.wigeontally.schema.generated.Address;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

/**
 * The end of an entry that was told to stop. Once {@link GatewayDaemon#drain()} has
 * completed, the process exits, so whatever the entry has taken by then must be answered.
 */
public class DrainEndTests {

	private static final long GRACE_S = 8;

	/** Longer than an idle entry runs after the signal. */
	private static final long IDLE_END_MS = 6_600;

	/** More than the buffers of the two sockets take. */
	private static final int LARGE_RESPONSE_BYTES = ResponseReader.MAX_BODY_BYTES;

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

	private FakeBackend startEntry(double graceS, String body) throws Exception {
		FakeBackend backend = this.fixture.startBackend("desk-1", "desk", "zone-a",
				(arrival, socket) -> socket.write(Buffer
					.buffer(FakeBackend.signedResponse(arrival, arrival.uri().startsWith("/plain/x") ? body : "ok"))));
		this.fixture.startEntryWithGrace(graceS);
		this.fixture.awaitStatus(0, "once", 200);
		return backend;
	}

	private Address front() {
		return this.fixture.settings(0).getFront();
	}

	/** Guards against requests that are sent on while the process exits, and cut. */
	@Test
	public void requestOnAKeptConnectionIsNotTakenAfterTheEnd() throws Exception {
		FakeBackend backend = startEntry(GRACE_S, "ok");
		try (KeptConnection connection = KeptConnection.open(front())) {
			assertThat(connection.call("once", "first")).isEqualTo(200);
			GatewayFixture.await(this.fixture.entry(0).drain());
			String late = TestCaller.requestText("GET /once/x", "late", GatewayFixture.API_KEY, "", "");
			assertThat(connection.exchange(late)).isEqualTo(KeptConnection.NO_ANSWER);
		}
		assertThat(arrivals(backend, "late")).isZero();
	}

	/** Guards against connections that are accepted while the process exits. */
	@Test
	public void connectionIsRefusedAfterTheEnd() throws Exception {
		startEntry(3, "ok");
		GatewayFixture.await(this.fixture.entry(0).drain());
		assertThatThrownBy(() -> new Socket(front().getIp(), front().getPort()).close())
			.isInstanceOf(IOException.class);
	}

	/** Guards against responses of which a part is still in the process when it ends. */
	@Test
	public void responseThatIsReadSlowlyIsSentBeforeTheEnd() throws Exception {
		startEntry(GRACE_S, "x".repeat(LARGE_RESPONSE_BYTES));
		try (KeptConnection connection = KeptConnection.open(front())) {
			connection.send(KeptConnection.request("plain", "large"));
			Thread.sleep(500);
			Future<Integer> ended = this.fixture.entry(0).drain();
			Thread.sleep(IDLE_END_MS);
			assertThat(ended.isComplete()).isFalse();
			assertThat(connection.readStatus()).isEqualTo(200);
			GatewayFixture.await(ended);
		}
	}

	/** Guards against requests whose bodies are being read when the process ends. */
	@Test
	public void requestWhoseBodyIsBeingSentIsAnsweredBeforeTheEnd() throws Exception {
		startEntry(GRACE_S, "ok");
		try (KeptConnection connection = KeptConnection.open(front())) {
			Future<Integer> ended = this.fixture.entry(0).drain();
			Thread.sleep(IDLE_END_MS - 800);
			connection.send(KeptConnection.headOf("slow", 4, "") + "ab");
			Thread.sleep(800);
			assertThat(ended.isComplete()).isFalse();
			connection.send("cd");
			assertThat(connection.readStatus()).isPositive();
			GatewayFixture.await(ended);
		}
	}

	/** Guards against requests whose headers are being read when the process ends. */
	@Test
	public void requestWhoseHeadIsBeingSentIsAnsweredBeforeTheEnd() throws Exception {
		startEntry(GRACE_S, "ok");
		try (KeptConnection connection = KeptConnection.open(front())) {
			Future<Integer> ended = this.fixture.entry(0).drain();
			Thread.sleep(IDLE_END_MS - 800);
			String request = KeptConnection.request("plain", "slow");
			connection.send(request.substring(0, request.length() / 2));
			Thread.sleep(800);
			assertThat(ended.isComplete()).isFalse();
			connection.send(request.substring(request.length() / 2));
			assertThat(connection.readStatus()).isPositive();
			GatewayFixture.await(ended);
		}
	}

	/** Guards against requests that are cut because others have ended. */
	@Test
	public void requestInProgressWhenTheEntryIsClosedIsAnswered() throws Exception {
		this.fixture
			.startBackend("engine-1", "engines", "zone-a", (arrival, socket) -> this.fixture.later(1_300, () -> socket
				.write(Buffer.buffer(FakeBackend.partialEventStream(arrival, "s", 0, 2) + FakeBackend.LAST_CHUNK))));
		startEntry(GRACE_S, "ok");
		Future<Integer> ended = this.fixture.entry(0).drain();
		Thread.sleep(IDLE_END_MS - 1_200);
		try (KeptConnection connection = KeptConnection.open(front())) {
			String stream = TestCaller.requestText("GET /events/x", "stream", 2_000, GatewayFixture.API_KEY, "", "");
			assertThat(connection.exchange(stream)).isEqualTo(200);
		}
		GatewayFixture.await(ended);
	}

	/** Guards against closing a connection with a response of which a part is unsent. */
	@Test
	public void largeResponseThatBeginsAfterTheEntryIsClosedIsSentWhole() throws Exception {
		String body = "x".repeat(LARGE_RESPONSE_BYTES);
		this.fixture.startBackend("desk-2", "desk", "zone-a", (arrival, socket) -> this.fixture
			.later(arrival.attemptId().equals("large") ? 900 : 1, () -> socket.write(Buffer
				.buffer(FakeBackend.signedResponse(arrival, arrival.attemptId().equals("large") ? body : "ok")))));
		this.fixture.startEntryWithGrace(GRACE_S);
		this.fixture.awaitStatus(0, "plain", 200);
		Future<Integer> ended = this.fixture.entry(0).drain();
		Thread.sleep(IDLE_END_MS - 800);
		try (KeptConnection connection = KeptConnection.open(front())) {
			connection.send(TestCaller.requestText("GET /plain/x", "large", 1_700, GatewayFixture.API_KEY, "", ""));
			Thread.sleep(1_100);
			assertThat(connection.readStatus()).isEqualTo(200);
		}
		GatewayFixture.await(ended);
	}

	private static long arrivals(FakeBackend backend, String id) {
		return List.copyOf(backend.receivedRequests())
			.stream()
			.filter((arrival) -> id.equals(arrival.attemptId()))
			.count();
	}

}
