package org.wigeontally.gateway;

import java.util.concurrent.atomic.AtomicBoolean;

import io.vertx.core.buffer.Buffer;
import io.vertx.core.net.NetSocket;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

import org.wigeontally.platform.standin.FakeBackend;
import org.wigeontally.platform.standin.TestCaller;
import org.wigeontally.platform.wire.WireNames;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Backend servers that send bytes without end, and callers that do. The bytes are bounded
 * in size and time, the connection is closed, and the caller gets a true answer.
 */
public class EndlessResponseTests {

	/** Timeout of the routes, with the time that the platform allows in addition. */
	private static final long MAX_ANSWER_MS = 1_500 + 250;

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
	public Object[][] endlessResponses() {
		String signed = "HTTP/1.1 200 OK\r\n" + FakeBackend.signatureHeader("s");
		String filler = "a".repeat(4_000);
		return new Object[][] { { "head", signed, "X-Filler: " + filler + "\r\n" },
				{ "header line", signed + "X-Filler: ", filler },
				{ "chunk extension", signed + "Transfer-Encoding: chunked\r\n\r\n5;x=", filler },
				{ "interim responses", "", "HTTP/1.1 100 Continue\r\n\r\n" }, { "trailer",
						signed + "Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n", "X-Filler: " + filler + "\r\n" },
				{ "body without length", signed + "\r\n", filler },
				{ "response to another request",
						signed + WireNames.ATTEMPT_ID + ": other\r\nTransfer-Encoding: chunked\r\n\r\n",
						"fa0\r\n" + filler + "\r\n" } };
	}

	/**
	 * The test fails with interim responses, a skipped response or a body without bound.
	 */
	@Test(dataProvider = "endlessResponses")
	public void endlessResponseEndsTheRequest(String part, String start, String repeated) throws Exception {
		FakeBackend backend = this.fixture.startBackend("desk-1", "desk", "zone-a",
				GatewayFixture.respondWithSuccess("ok"));
		this.fixture.startEntry();
		this.fixture.awaitStatus(0, "once", 200);
		AtomicBoolean closed = new AtomicBoolean();
		backend.setBehaviour((arrival, socket) -> {
			socket.closeHandler((v) -> closed.set(true));
			socket.write(start);
			FakeBackend.writeWithoutEnd(socket, Buffer.buffer(repeated.repeat(1 + 64_000 / repeated.length())), closed);
		});
		long startMs = System.currentTimeMillis();
		assertThat(this.fixture.call("once").status()).as(part).isEqualTo(502);
		assertThat(System.currentTimeMillis() - startMs).as(part).isLessThan(MAX_ANSWER_MS);
		GatewayFixture.awaitTrue(closed::get);
	}

	/**
	 * An event without end is given up, and another backend server serves the request.
	 */
	@Test
	public void endlessEventIsResumedElsewhere() throws Exception {
		AtomicBoolean closed = new AtomicBoolean();
		this.fixture.startBackend("engine-1", "engines", "zone-a", (arrival, socket) -> {
			socket.closeHandler((v) -> closed.set(true));
			socket.write(FakeBackend.partialEventStream(arrival, "s1", 0, 2));
			String chunk = "a".repeat(64_000);
			FakeBackend.writeWithoutEnd(socket,
					Buffer.buffer(Integer.toHexString(chunk.length()) + "\r\n" + chunk + "\r\n"), closed);
		});
		this.fixture.startEntry();
		GatewayFixture.awaitTrue(() -> this.fixture.entry(0) != null);
		this.fixture.startBackend("engine-2", "engines", "zone-b", (arrival, socket) -> socket
			.write(FakeBackend.partialEventStream(arrival, "s2", firstEvent(arrival), 4) + "0\r\n\r\n"));
		// Engines are drawn at random, so the first request may go to engine-2.
		GatewayFixture.awaitTrue(() -> bodyOfStream().endsWith("id: 3\ndata: e3\n\n") && closed.get());
	}

	private static int firstEvent(FakeBackend.ReceivedRequest arrival) {
		String lastEventId = arrival.headers().get("last-event-id");
		return (lastEventId != null) ? Integer.parseInt(lastEventId) + 1 : 0;
	}

	private String bodyOfStream() {
		try {
			return this.fixture.call("events").body();
		}
		catch (Exception ex) {
			return ex.toString();
		}
	}

	/**
	 * A stalled stream sends a byte now and then, a sound one an event every half second.
	 * The stalled one is resumed elsewhere, the sound one is not cut. The test fails if
	 * bytes count as progress.
	 */
	@Test
	public void stalledStreamIsResumedAndSlowStreamIsNot() throws Exception {
		FakeBackend.Behaviour stalled = (arrival, socket) -> {
			int first = firstEvent(arrival);
			if (first > 0) {
				socket.write(FakeBackend.partialEventStream(arrival, "s2", first, 3) + "0\r\n\r\n");
				return;
			}
			socket.write(FakeBackend.partialEventStream(arrival, "s1", 0, 2));
			this.fixture.vertx().setPeriodic(200, (id) -> socket.write("1\r\n:\r\n"));
		};
		FakeBackend one = this.fixture.startBackend("engine-1", "engines", "zone-a", stalled);
		FakeBackend two = this.fixture.startBackend("engine-2", "engines", "zone-a", stalled);
		this.fixture.startEntry();
		GatewayFixture.awaitTrue(() -> bodyOfStream().endsWith("id: 2\ndata: e2\n\n"));
		FakeBackend.Behaviour slow = (arrival, socket) -> {
			socket.write(FakeBackend.partialEventStream(arrival, "s", 0, 1));
			this.fixture.vertx()
				.setTimer(500, (id) -> socket.write("e\r\nid: 1\ndata: e1\n\n".replaceFirst("^e",
						Integer.toHexString("id: 1\ndata: e1\n\n".length())) + "\r\n"));
			this.fixture.vertx().setTimer(1_000, (id) -> socket.write("0\r\n\r\n"));
		};
		one.setBehaviour(slow);
		two.setBehaviour(slow);
		int arrivals = one.receivedRequests().size() + two.receivedRequests().size();
		assertThat(bodyOfStream()).endsWith("id: 1\ndata: e1\n\n");
		assertThat(one.receivedRequests().size() + two.receivedRequests().size()).isEqualTo(arrivals + 1);
	}

	/** A caller that sends its body a byte at a time is refused at its own deadline. */
	@Test
	public void callerWithEndlessBodyIsRefused() throws Exception {
		this.fixture.startBackend("desk-1", "desk", "zone-a", GatewayFixture.respondWithSuccess("ok"));
		this.fixture.startEntry();
		this.fixture.awaitStatus(0, "plain", 200);
		NetSocket socket = GatewayFixture.await(this.fixture.vertx()
			.createNetClient()
			.connect(this.fixture.settings(0).getFront().getPort(), "127.0.0.1"));
		Buffer received = Buffer.buffer();
		AtomicBoolean closed = new AtomicBoolean();
		socket.handler(received::appendBuffer);
		socket.closeHandler((v) -> closed.set(true));
		socket.write(TestCaller.requestText("POST /plain/x", "slow", GatewayFixture.API_KEY,
				"Transfer-Encoding: chunked\r\n", ""));
		this.fixture.vertx().setPeriodic(100, (id) -> socket.write("1\r\na\r\n"));
		GatewayFixture.awaitTrue(closed::get);
		assertThat(received.toString()).startsWith("HTTP/1.1 408");
	}

}
