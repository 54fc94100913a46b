package org.wigeontally.gateway;

import java.util.List;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;

import io.vertx.core.buffer.Buffer;
import io.vertx.core.json.JsonObject;
import io.vertx.core.net.NetSocket;
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
 * Streams that break off and are continued by a backend server that answers with
 * something else. The caller gets the events of one stream and nothing else, and sees its
 * connection broken if they are not all.
 */
public class BrokenStreamTests {

	private static final String EVENT_TYPE = "Content-Type: text/event-stream\r\n";

	private static final String ERROR = "HTTP/1.1 503 Service Unavailable\r\n" + WireNames.ATTEMPT_ID + ": other\r\n"
			+ FakeBackend.NOT_RUN_HEADER + "Content-Length: 0\r\n\r\n";

	private GatewayFixture fixture;

	private final AtomicInteger attempts = new AtomicInteger();

	@BeforeMethod
	public void start() throws Exception {
		this.fixture = new GatewayFixture();
		this.attempts.set(0);
	}

	@AfterMethod(alwaysRun = true)
	public void stop() throws Exception {
		this.fixture.close();
	}

	@DataProvider
	public Object[][] otherAnswers() {
		String signature = FakeBackend.signatureHeader("s2");
		return new Object[][] {
				{ "error", response((arrival) -> FakeBackend.response(arrival, "500 Error", signature, "failed")) },
				{ "error of the type of a stream",
						response((arrival) -> FakeBackend.response(arrival, "500 Error", signature + EVENT_TYPE,
								"failed\n\n")) },
				{ "error with events",
						response((arrival) -> FakeBackend.response(arrival, "503 Service Unavailable", EVENT_TYPE,
								FakeBackend.events(3, 6))) },
				{ "error with events in chunks",
						response((arrival) -> FakeBackend.partialEventStream(arrival, "s2", 3, 6)
							.replaceFirst("200 OK", "500 Error") + FakeBackend.LAST_CHUNK) },
				{ "refusal", response((arrival) -> FakeBackend.notRunResponse(arrival, EVENT_TYPE)) },
				{ "error of the caller",
						response((arrival) -> FakeBackend.response(arrival, "404 Not Found", signature, "no stream")) },
				{ "success of another type",
						response((arrival) -> FakeBackend.response(arrival, "200 OK",
								signature + "Content-Type: application/json\r\n", "{}")) },
				{ "success without a type",
						response((arrival) -> FakeBackend.signedResponse(arrival, FakeBackend.events(3, 6))) },
				{ "unsigned stream",
						response((arrival) -> FakeBackend.eventStreamHead(arrival, "") + FakeBackend.eventChunks(3, 6)
								+ FakeBackend.LAST_CHUNK) },
				{ "bytes that are no response", response((arrival) -> "engine failed\r\n\r\n") } };
	}

	/**
	 * No part of an answer that is no stream reaches the caller. The test fails if only
	 * the type of the content says what a stream is.
	 */
	@Test(dataProvider = "otherAnswers")
	public void answerThatIsNoStreamBreaksTheStream(String name, FakeBackend.Behaviour answer) throws Exception {
		startEngines(2, breakAfterThreeEvents(), answer);
		assertBroken(name, call());
	}

	@Test(dataProvider = "otherAnswers")
	public void streamIsContinuedAfterAnAnswerThatIsNoStream(String name, FakeBackend.Behaviour answer)
			throws Exception {
		startEngines(3, breakAfterThreeEvents(), answer, continueStream());
		assertWhole(name, call());
	}

	@DataProvider
	public Object[][] emptyStreams() {
		return new Object[][] {
				{ "in chunks", response(
						(arrival) -> FakeBackend.partialEventStream(arrival, "s2", 0, 0) + FakeBackend.LAST_CHUNK) },
				{ "with a length",
						response((arrival) -> FakeBackend.signedResponseHead(arrival) + EVENT_TYPE
								+ "Content-Length: 0\r\n\r\n") },
				{ "delimited by close",
						closing((arrival) -> FakeBackend.signedResponseHead(arrival) + EVENT_TYPE + "\r\n") },
				{ "comment",
						response((arrival) -> FakeBackend.partialEventStream(arrival, "s2", 0, 0)
								+ FakeBackend.chunk(": ping\n\n") + FakeBackend.LAST_CHUNK) },
				{ "earlier events only", response(
						(arrival) -> FakeBackend.partialEventStream(arrival, "s2", 0, 2) + FakeBackend.LAST_CHUNK) } };
	}

	/** The last event is not known to have been forwarded. */
	@Test(dataProvider = "emptyStreams")
	public void streamWithoutFurtherEventsDoesNotEndABrokenOne(String name, FakeBackend.Behaviour answer)
			throws Exception {
		startEngines(2, breakAfterThreeEvents(), answer);
		assertThat(withoutComments(call())).as(name).isEqualTo(new Received(chunks(0, 3), true));
	}

	@Test(dataProvider = "emptyStreams")
	public void streamIsContinuedAfterOneWithoutFurtherEvents(String name, FakeBackend.Behaviour answer)
			throws Exception {
		startEngines(3, breakAfterThreeEvents(), answer, continueStream());
		assertThat(withoutComments(call())).as(name)
			.isEqualTo(new Received(chunks(0, 6) + FakeBackend.LAST_CHUNK, false));
	}

	/**
	 * The backend server has the last forwarded event, and none after it. The test fails
	 * if only a new event shows that.
	 */
	@Test
	public void streamThatRepeatsTheLastEventEndsABrokenOne() throws Exception {
		startEngines(2, breakAfterThreeEvents(),
				response((arrival) -> FakeBackend.partialEventStream(arrival, "s2", 0, 3) + FakeBackend.LAST_CHUNK));
		assertThat(call()).isEqualTo(new Received(chunks(0, 3) + FakeBackend.LAST_CHUNK, false));
	}

	@DataProvider
	public Object[][] unconnectedStreams() {
		return new Object[][] {
				{ "events are missing", response(
						(arrival) -> FakeBackend.partialEventStream(arrival, "s2", 4, 6) + FakeBackend.LAST_CHUNK) },
				{ "event without an id",
						response((arrival) -> FakeBackend.partialEventStream(arrival, "s2", 0, 0)
								+ FakeBackend.chunk("event: error\ndata: failed\n\n") + FakeBackend.eventChunks(3, 6)
								+ FakeBackend.LAST_CHUNK) } };
	}

	/** The caller would miss events, or find some whose place is not known. */
	@Test(dataProvider = "unconnectedStreams")
	public void streamThatDoesNotFollowIsNotJoined(String name, FakeBackend.Behaviour answer) throws Exception {
		startEngines(2, breakAfterThreeEvents(), answer);
		assertBroken(name, call());
	}

	@Test(dataProvider = "unconnectedStreams")
	public void streamIsContinuedAfterOneThatDoesNotFollow(String name, FakeBackend.Behaviour answer) throws Exception {
		startEngines(3, breakAfterThreeEvents(), answer, continueStream());
		assertWhole(name, call());
	}

	/**
	 * Ids may be counts of something else; the distance is that of the events before. The
	 * test fails if ids must be consecutive.
	 */
	@Test
	public void streamWithLargerStepsIsJoined() throws Exception {
		startEngines(2,
				closing((arrival) -> FakeBackend.partialEventStream(arrival, "s1", 0, 0) + chunk(5) + chunk(10)),
				response((arrival) -> FakeBackend.partialEventStream(arrival, "s2", 0, 0) + chunk(14) + chunk(19)
						+ FakeBackend.LAST_CHUNK));
		assertThat(call())
			.isEqualTo(new Received(chunk(5) + chunk(10) + chunk(14) + chunk(19) + FakeBackend.LAST_CHUNK, false));
	}

	/** The second stream would begin with events that the caller has. */
	@Test
	public void streamWithoutIdsIsNotSentAgain() throws Exception {
		String event = FakeBackend.chunk("data: a\n\n");
		startEngines(3, closing((arrival) -> FakeBackend.partialEventStream(arrival, "s1", 0, 0) + event), response(
				(arrival) -> FakeBackend.partialEventStream(arrival, "s2", 0, 0) + event + FakeBackend.LAST_CHUNK));
		assertThat(call()).isEqualTo(new Received(event, true));
		assertThat(this.attempts.get()).isEqualTo(1);
	}

	@DataProvider
	public Object[][] errorsWithinAStream() {
		return new Object[][] { { "head, delimited by close", "\r\n" + FakeBackend.events(0, 3) + ERROR },
				{ "head within an event", "\r\n" + FakeBackend.events(0, 3) + "id: 3\ndata: e" + ERROR },
				{ "head and body", "\r\n" + FakeBackend.events(0, 3) + ERROR + "engine failed\n\n" },
				{ "text", "\r\n" + FakeBackend.events(0, 3) + "engine failed\n\n" },
				{ "head, counted",
						"Content-Length: " + (FakeBackend.events(0, 3) + ERROR).length() + "\r\n\r\n"
								+ FakeBackend.events(0, 3) + ERROR },
				{ "head in a chunk",
						"Transfer-Encoding: chunked\r\n\r\n" + chunks(0, 3) + FakeBackend.chunk(ERROR)
								+ FakeBackend.LAST_CHUNK },
				{ "head between chunks", "Transfer-Encoding: chunked\r\n\r\n" + chunks(0, 3) + ERROR } };
	}

	/** The backend server breaks off its stream and writes an error in its place. */
	@Test(dataProvider = "errorsWithinAStream")
	public void errorWithinAStreamBreaksIt(String name, String response) throws Exception {
		startEngines(1, closing((arrival) -> FakeBackend.signedResponseHead(arrival) + EVENT_TYPE + response));
		assertBroken(name, call());
	}

	@Test(dataProvider = "errorsWithinAStream")
	public void streamIsContinuedAfterAnErrorWithinIt(String name, String response) throws Exception {
		startEngines(2, closing((arrival) -> FakeBackend.signedResponseHead(arrival) + EVENT_TYPE + response),
				continueStream());
		assertWhole(name, call());
	}

	@DataProvider
	public Object[][] soundEvents() {
		return new Object[][] { { "x-weight-versions: 2\nid: 1\ndata: a\n\n" }, { ": ping\n\n" }, { "retry: 100\n\n" },
				{ "\r\nid: 7\r\ndata: HTTP/1.1 503\r\ndata: Connection: close\r\n\r\n" },
				{ "event: token\nid: 1\nfurther: field\ndata\n\n" }, { "data: [DONE]\n\n" } };
	}

	/** The test fails if fields that are not known make an event unsound. */
	@Test(dataProvider = "soundEvents")
	public void soundEventIsForwarded(String event) throws Exception {
		startEngines(1, response((arrival) -> FakeBackend.partialEventStream(arrival, "s1", 0, 1)
				+ FakeBackend.chunk(event) + FakeBackend.LAST_CHUNK));
		assertThat(call()).isEqualTo(new Received(chunk(0) + FakeBackend.chunk(event) + FakeBackend.LAST_CHUNK, false));
	}

	@Test
	public void errorInPlaceOfTheFirstEventIsNoAnswer() throws Exception {
		startEngines(1, closing((arrival) -> FakeBackend.signedResponseHead(arrival) + EVENT_TYPE + "\r\n" + ERROR));
		assertThat(this.fixture.call("events").status()).isEqualTo(502);
	}

	@DataProvider
	public Object[][] framings() {
		return new Object[][] { { "chunks", continueStream() },
				{ "length",
						response((arrival) -> FakeBackend.signedResponseHead(arrival) + EVENT_TYPE + "Content-Length: "
								+ FakeBackend.events(3, 6).length() + "\r\n\r\n" + FakeBackend.events(3, 6)) },
				{ "close", closing((arrival) -> FakeBackend.signedResponseHead(arrival) + EVENT_TYPE + "\r\n"
						+ FakeBackend.events(3, 6)) } };
	}

	/** The test fails if the end of a connection is never the end of a stream. */
	@Test(dataProvider = "framings")
	public void streamIsContinuedInAnyFraming(String name, FakeBackend.Behaviour continued) throws Exception {
		startEngines(2, breakAfterThreeEvents(), continued);
		assertWhole(name, call());
	}

	@DataProvider
	public Object[][] brokenFramings() {
		return new Object[][] { { "chunks", closing((arrival) -> FakeBackend.partialEventStream(arrival, "s2", 3, 5)) },
				{ "length",
						closing((arrival) -> FakeBackend.signedResponseHead(arrival) + EVENT_TYPE
								+ "Content-Length: 9999\r\n\r\n" + FakeBackend.events(3, 5)) },
				{ "close", closing((arrival) -> FakeBackend.signedResponseHead(arrival) + EVENT_TYPE + "\r\n"
						+ FakeBackend.events(3, 5) + "id: 5\nda") } };
	}

	/** The test fails if a lost connection or part of an event ends a stream. */
	@Test(dataProvider = "brokenFramings")
	public void streamThatBreaksTwiceIsBroken(String name, FakeBackend.Behaviour broken) throws Exception {
		startEngines(2, breakAfterThreeEvents(), broken);
		assertThat(call()).as(name).isEqualTo(new Received(chunks(0, 5), true));
	}

	@Test(dataProvider = "brokenFramings")
	public void streamThatBreaksTwiceIsContinued(String name, FakeBackend.Behaviour broken) throws Exception {
		startEngines(3, breakAfterThreeEvents(), broken,
				response((arrival) -> FakeBackend.partialEventStream(arrival, "s3", 5, 6) + FakeBackend.LAST_CHUNK));
		assertWhole(name, call());
	}

	private static void assertBroken(String name, Received received) {
		assertThat(received).as(name).isEqualTo(new Received(chunks(0, 3), true));
	}

	private static void assertWhole(String name, Received received) {
		assertThat(received).as(name).isEqualTo(new Received(chunks(0, 6) + FakeBackend.LAST_CHUNK, false));
	}

	private static Received withoutComments(Received received) {
		return new Received(received.body().replace(FakeBackend.chunk(": ping\n\n"), ""), received.broken());
	}

	/** Each sending of a request gets the next answer, whichever engine it goes to. */
	private void startEngines(int maxAttempts, FakeBackend.Behaviour... answers) throws Exception {
		JsonObject configuration = FakeConfiguration.create(1, List.of());
		configuration.getJsonArray("routes").forEach((route) -> ((JsonObject) route).put("max-attempts", maxAttempts));
		this.fixture.store().write("op", "config", configuration);
		FakeBackend.Behaviour behaviour = (arrival, socket) -> {
			if (arrival.attemptId().startsWith("probe")) {
				socket.write(FakeBackend.partialEventStream(arrival, "s", 0, 1) + FakeBackend.LAST_CHUNK);
				return;
			}
			answers[this.attempts.getAndIncrement()].respond(arrival, socket);
		};
		for (int i = 1; i <= 3; i++) {
			this.fixture.startBackend("engine-" + i, "engines", "zone-a", behaviour);
		}
		this.fixture.startEntry();
		this.fixture.awaitStatus(0, "events", 200);
	}

	/** Sends a request and returns the bytes that follow the head of the response. */
	private Received call() throws Exception {
		NetSocket socket = GatewayFixture.await(this.fixture.vertx()
			.createNetClient()
			.connect(this.fixture.settings(0).getFront().getPort(), "127.0.0.1"));
		Buffer received = Buffer.buffer();
		AtomicBoolean ended = new AtomicBoolean();
		AtomicBoolean broken = new AtomicBoolean();
		socket.handler((bytes) -> {
			received.appendBuffer(bytes);
			ended.set(received.toString().endsWith("\r\n" + FakeBackend.LAST_CHUNK));
		});
		socket.closeHandler((v) -> broken.set(true));
		socket.write(
				TestCaller.requestText("POST /events/x", "call", GatewayFixture.API_KEY, "Content-Length: 0\r\n", ""));
		GatewayFixture.awaitTrue(() -> ended.get() || broken.get());
		String text = received.toString();
		assertThat(text).startsWith("HTTP/1.1 200 OK\r\n");
		return new Received(text.substring(text.indexOf("\r\n\r\n") + 4), broken.get());
	}

	private static FakeBackend.Behaviour response(Writer writer) {
		return (arrival, socket) -> socket.write(writer.write(arrival));
	}

	private static FakeBackend.Behaviour closing(Writer writer) {
		return (arrival, socket) -> socket.write(writer.write(arrival)).onComplete((written) -> socket.close());
	}

	private static FakeBackend.Behaviour breakAfterThreeEvents() {
		return closing((arrival) -> FakeBackend.partialEventStream(arrival, "s1", 0, 3) + "9\r\nid: 3\nda");
	}

	private static FakeBackend.Behaviour continueStream() {
		return response((arrival) -> FakeBackend.partialEventStream(arrival, "s3",
				Integer.parseInt(arrival.headers().get("last-event-id")) + 1, 6) + FakeBackend.LAST_CHUNK);
	}

	private static String chunks(int firstEvent, int endEvent) {
		return FakeBackend.eventChunks(firstEvent, endEvent);
	}

	private static String chunk(int event) {
		return FakeBackend.eventChunks(event, event + 1);
	}

	/**
	 * Writes the response to a request.
	 */
	@FunctionalInterface
	private interface Writer {

		String write(FakeBackend.ReceivedRequest arrival);

	}

	/**
	 * What a caller received.
	 *
	 * @param body bytes after the head
	 * @param broken whether the connection was closed
	 */
	private record Received(String body, boolean broken) {

	}

}
