package org.wigeontally.gateway;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Map;

import io.vertx.core.json.JsonObject;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

import org.wigeontally.platform.standin.FakeBackend;
import org.wigeontally.platform.standin.TestCaller;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

/**
 * Responses of backend servers with neither a length nor chunks, which end with their
 * connection: by an orderly close, or by a reset.
 */
public class UnframedResponseTests {

	private static final String EVENTS = "id: 0\ndata: e0\n\nid: 1\ndata: e1\n\n";

	private GatewayFixture fixture;

	private RawBackend backend;

	@BeforeMethod
	public void start() throws Exception {
		this.fixture = new GatewayFixture();
		this.fixture.writeConfiguration();
		this.backend = new RawBackend();
	}

	@AfterMethod(alwaysRun = true)
	public void stop() throws Exception {
		this.fixture.close();
		this.backend.close();
	}

	@Test
	public void streamThatEndsBetweenEventsIsComplete() throws Exception {
		startEntry("engines");
		this.backend.respondWith("Content-Type: text/event-stream\r\n\r\n" + EVENTS, false);
		TestCaller.Response response = this.fixture.call("events");
		assertThat(response.status()).isEqualTo(200);
		assertThat(response.body()).isEqualTo(EVENTS);
	}

	/** The caller must not take the part that arrived for a complete stream. */
	@Test
	public void streamThatEndsWithinAnEventIsBrokenOff() throws Exception {
		startEntry("engines");
		this.backend.respondWith("Content-Type: text/event-stream\r\n\r\n" + EVENTS + "id: 2\ndat", false);
		assertThatThrownBy(() -> this.fixture.call("events")).hasMessageContaining("closed");
	}

	@Test
	public void streamThatIsResetAfterItsLastEventIsBrokenOff() throws Exception {
		startEntry("engines");
		this.backend.respondWith("Content-Type: text/event-stream\r\n\r\n" + EVENTS, true);
		assertThatThrownBy(() -> this.fixture.call("events")).hasMessageContaining("closed");
	}

	@Test
	public void streamThatEndsBeforeItsFirstEventIsNoAnswer() throws Exception {
		startEntry("engines");
		this.backend.respondWith("Content-Type: text/event-stream\r\n\r\n", false);
		TestCaller.Response response = this.fixture.call("events");
		assertThat(response.status()).isEqualTo(502);
		assertThat(response.signature()).isNull();
	}

	@Test
	public void bodyThatEndsWithItsConnectionIsComplete() throws Exception {
		startEntry("desk");
		this.backend.respondWith("\r\nwhole", false);
		assertThat(this.fixture.call("once").body()).isEqualTo("whole");
	}

	@Test
	public void bodyThatIsResetIsNoAnswer() throws Exception {
		startEntry("desk");
		this.backend.respondWith("\r\nhal", true);
		assertThat(this.fixture.call("once").status()).isEqualTo(502);
	}

	private void startEntry(String service) throws Exception {
		this.backend.respondWith("Content-Length: 0\r\n\r\n", false);
		this.fixture.store().write("servers", "raw-1", this.backend.registration(service));
		this.fixture.startEntry();
		this.fixture.awaitStatus(0, service.equals("desk") ? "once" : "events", 200);
	}

	/**
	 * Backend server that writes the same bytes to each request and ends the connection.
	 */
	private static final class RawBackend implements AutoCloseable {

		private final ServerSocket server = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());

		private volatile String response = "";

		private volatile boolean reset;

		private RawBackend() throws IOException {
			Thread acceptor = new Thread(this::acceptConnections, "raw-backend");
			acceptor.setDaemon(true);
			acceptor.start();
		}

		private void respondWith(String headersAndBody, boolean isReset) {
			this.response = headersAndBody;
			this.reset = isReset;
		}

		private JsonObject registration(String service) {
			return FakeBackend.registration(this.server.getLocalPort(), service, "zone-a", "ready", 1);
		}

		private void acceptConnections() {
			while (!this.server.isClosed()) {
				try (Socket socket = this.server.accept()) {
					answer(socket);
				}
				catch (IOException | InterruptedException ex) {
					// The entry may close its connection at any time; the next one
					// counts.
				}
			}
		}

		private void answer(Socket socket) throws IOException, InterruptedException {
			socket.setSoTimeout(2_000);
			String request = readRequest(socket.getInputStream());
			if (request.isEmpty()) {
				return;
			}
			String id = request.replaceAll("(?is).*attempt-id: ([^\r]*).*", "$1");
			FakeBackend.ReceivedRequest arrival = new FakeBackend.ReceivedRequest("POST", "/",
					Map.of("x-attempt-id", id), "");
			OutputStream out = socket.getOutputStream();
			out.write((FakeBackend.signedResponseHead(arrival) + this.response).getBytes(StandardCharsets.ISO_8859_1));
			out.flush();
			if (this.reset) {
				// Lets the entry read the bytes before the reset discards them.
				Thread.sleep(100);
				socket.setSoLinger(true, 0);
			}
		}

		private static String readRequest(InputStream in) throws IOException {
			StringBuilder text = new StringBuilder();
			byte[] buffer = new byte[4_096];
			while (!isComplete(text)) {
				int count = in.read(buffer);
				if (count < 0) {
					return "";
				}
				text.append(new String(buffer, 0, count, StandardCharsets.ISO_8859_1));
			}
			return text.toString();
		}

		private static boolean isComplete(StringBuilder text) {
			int end = text.indexOf("\r\n\r\n");
			if (end < 0) {
				return false;
			}
			String length = text.toString().replaceAll("(?is).*content-length: (\\d+).*", "$1");
			int bodyLength = length.matches("\\d+") ? Integer.parseInt(length) : 0;
			return text.length() >= end + 4 + bodyLength;
		}

		@Override
		public void close() throws IOException {
			this.server.close();
		}

	}

}
