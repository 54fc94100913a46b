package org.wigeontally.gateway;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.function.Function;

import io.vertx.core.json.JsonObject;

import org.wigeontally.platform.standin.FakeBackend;

/**
 * Backend server that answers each request with given bytes and ends the connection, by
 * an orderly close or by a reset.
 */
final class RawBackend implements AutoCloseable {

	private final ServerSocket server = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());

	private final long resetDelayMs;

	private volatile Function<FakeBackend.ReceivedRequest, String> response = (arrival) -> "";

	private volatile boolean reset;

	/**
	 * Starts listening.
	 * @param resetDelayMs time in which the caller can read the bytes before a reset
	 * discards them
	 */
	RawBackend(long resetDelayMs) throws IOException {
		this.resetDelayMs = resetDelayMs;
		Thread acceptor = new Thread(this::acceptConnections, "raw-backend");
		acceptor.setDaemon(true);
		acceptor.start();
	}

	void respondWith(Function<FakeBackend.ReceivedRequest, String> bytes, boolean isReset) {
		this.response = bytes;
		this.reset = isReset;
	}

	int port() {
		return this.server.getLocalPort();
	}

	JsonObject registration(String service) {
		return FakeBackend.registration(port(), service, "zone-a", "ready", 1);
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
		socket.setTcpNoDelay(true);
		socket.setSoTimeout(2_000);
		String request = readRequest(socket.getInputStream());
		if (request.isEmpty()) {
			return;
		}
		String id = request.replaceAll("(?is).*attempt-id: ([^\r]*).*", "$1");
		FakeBackend.ReceivedRequest arrival = new FakeBackend.ReceivedRequest("POST", "/", Map.of("x-attempt-id", id),
				"");
		OutputStream out = socket.getOutputStream();
		out.write(this.response.apply(arrival).getBytes(StandardCharsets.ISO_8859_1));
		out.flush();
		if (this.reset) {
			Thread.sleep(this.resetDelayMs);
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
