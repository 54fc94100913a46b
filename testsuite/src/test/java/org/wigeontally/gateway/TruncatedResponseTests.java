package org.wigeontally.gateway;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;

import io.netty.handler.codec.http.HttpHeaders;
import io.vertx.core.Vertx;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

import org.wigeontally.fleet.RequestKind;
import org.wigeontally.misc.Clock;
import org.wigeontally.platform.standin.FakeBackend;
import org.wigeontally.platform.wire.WireNames;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against a success for a response that was cut off: each response is cut after
 * each of its bytes, by an orderly end of the connection and by a reset.
 */
public class TruncatedResponseTests {

	private static final String HEAD = "HTTP/1.1 200 OK\r\n" + WireNames.ATTEMPT_ID + ": id-1\r\n"
			+ FakeBackend.signatureHeader("s");

	private static final String EVENTS = "id: 0\ndata: e0\n\nid: 1\ndata: e1\n\n";

	private static final String STREAM = "Content-Type: text/event-stream\r\n";

	/** Time for the bytes to be read before a reset discards them. */
	private static final long RESET_DELAY_MS = 4;

	private Vertx vertx;

	private RawBackend backend;

	@BeforeMethod
	public void start() throws Exception {
		this.vertx = Vertx.vertx();
		this.backend = new RawBackend(RESET_DELAY_MS);
	}

	@AfterMethod(alwaysRun = true)
	public void stop() throws Exception {
		this.backend.close();
		GatewayFixture.await(this.vertx.close());
	}

	@DataProvider
	public Object[][] responses() {
		String chunks = FakeBackend.chunk("hel") + FakeBackend.chunk("lo") + "0\r\n";
		List<Object[]> rows = new ArrayList<>();
		for (boolean reset : new boolean[] { false, true }) {
			rows.add(new Object[] { "length", "POST", HEAD + "Content-Length: 5\r\n\r\nhello", reset });
			rows.add(new Object[] { "chunks", "POST", HEAD + "Transfer-Encoding: chunked\r\n\r\n" + chunks + "\r\n",
					reset });
			rows.add(new Object[] { "trailers", "POST",
					HEAD + "Transfer-Encoding: chunked\r\n\r\n" + chunks + "X-Trailer: a\r\n\r\n", reset });
			rows.add(new Object[] { "interim", "POST",
					"HTTP/1.1 100 Continue\r\n\r\n" + HEAD + "Content-Length: 5\r\n\r\nhello", reset });
			rows.add(new Object[] { "empty", "POST", HEAD + "Content-Length: 0\r\n\r\n", reset });
			rows.add(new Object[] { "no content", "POST", HEAD.replace("200 OK", "204 No Content") + "\r\n", reset });
			rows.add(new Object[] { "head", "HEAD", HEAD + "Content-Length: 5\r\n\r\n", reset });
			rows.add(new Object[] { "stream", "POST", HEAD + STREAM + "Transfer-Encoding: chunked\r\n\r\n"
					+ FakeBackend.eventChunks(0, 2) + FakeBackend.LAST_CHUNK, reset });
			rows.add(new Object[] { "stream with length", "POST",
					HEAD + STREAM + "Content-Length: " + EVENTS.length() + "\r\n\r\n" + EVENTS, reset });
		}
		return rows.toArray(Object[][]::new);
	}

	@Test(dataProvider = "responses")
	public void framedResponseIsCompleteOnlyWithItsLastByte(String framing, String method, String response,
			boolean reset) throws Exception {
		for (int length = 0; length < response.length(); length++) {
			assertThat(receive(method, response.substring(0, length), reset))
				.as("%s cut after %d of %d bytes, reset %s", framing, length, response.length(), reset)
				.startsWith("failed");
		}
		assertThat(receive(method, response, false)).as(framing).startsWith("complete");
	}

	@DataProvider
	public Object[][] unframedResponses() {
		return new Object[][] { { "body", "", "hello", false }, { "body", "", "hello", true },
				{ "stream", STREAM, EVENTS, false }, { "stream", STREAM, EVENTS, true } };
	}

	/**
	 * Without a length only an orderly end of the connection says that the response is
	 * complete. It proves nothing within the head, or within an event.
	 */
	@Test(dataProvider = "unframedResponses")
	public void responseWithoutLengthIsCompleteOnlyWithAnOrderlyEnd(String framing, String headers, String body,
			boolean reset) throws Exception {
		String response = HEAD + headers + "\r\n" + body;
		int bodyStart = response.length() - body.length();
		for (int length = 0; length <= response.length(); length++) {
			String part = response.substring(0, length);
			boolean inBody = length >= bodyStart;
			boolean betweenEvents = length > bodyStart && part.endsWith("\n\n");
			boolean looksComplete = !reset && inBody && (headers.isEmpty() || betweenEvents);
			assertThat(receive("POST", part, reset)).as("%s cut after %d bytes, reset %s", framing, length, reset)
				.startsWith(looksComplete ? "complete" : "failed");
		}
	}

	private String receive(String method, String bytes, boolean reset) throws Exception {
		this.backend.respondWith((arrival) -> bytes, reset);
		CompletableFuture<String> ended = new CompletableFuture<>();
		this.vertx.createNetClient()
			.connect(this.backend.port(), "127.0.0.1")
			.onFailure(ended::completeExceptionally)
			.onSuccess((socket) -> {
				BackendConnection connection = new BackendConnection(socket, Clock.system(), () -> {
				});
				BackendRequest request = new BackendRequest(method, "/x",
						List.of(Map.entry(WireNames.ATTEMPT_ID, "id-1")), new byte[0], "id-1");
				connection.send(request, new Reader(ended), connection::close);
			});
		return ended.get(5, TimeUnit.SECONDS);
	}

	/** Reads a response as an attempt does. */
	private static final class Reader implements BackendResponseHandler {

		private final CompletableFuture<String> ended;

		private ResponseReader reader;

		private Reader(CompletableFuture<String> ended) {
			this.ended = ended;
		}

		@Override
		public void headReceived(int status, HttpHeaders headers) {
			this.reader = new ResponseReader(status, headers, RequestKind.STREAM);
		}

		@Override
		public void bodyReceived(byte[] bytes) {
			this.reader.append(bytes);
			while (this.reader.takeEvent() != null) {
				assertThat(this.reader.isMalformed()).isFalse();
			}
		}

		@Override
		public void responseEnded(boolean delimitedByClose) {
			this.ended.complete(this.reader.isBrokenOff(delimitedByClose) ? "failed: broken off" : "complete");
		}

		@Override
		public void connectionFailed(String reason) {
			this.ended.complete("failed: " + reason);
		}

	}

}
