package org.wigeontally.gateway;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;

import org.wigeontally.platform.standin.TestCaller;
import org.wigeontally.schema.generated.Address;

/**
 * A connection to an entry that its caller keeps for several requests. All calls block.
 */
final class KeptConnection implements AutoCloseable {

	/** Status of a connection that ended without an answer. */
	static final int NO_ANSWER = -1;

	private static final int READ_TIMEOUT_MS = 6_000;

	private static final int RECEIVE_BUFFER_BYTES = 16 * 1024;

	private final Socket socket;

	private final InputStream input;

	private boolean closing;

	private KeptConnection(Socket socket) throws IOException {
		this.socket = socket;
		this.input = new BufferedInputStream(socket.getInputStream());
	}

	static KeptConnection open(Address front) throws IOException {
		Socket socket = new Socket();
		// A slow caller leaves most of a large response at the entry.
		socket.setReceiveBufferSize(RECEIVE_BUFFER_BYTES);
		socket.connect(new InetSocketAddress(front.getIp(), front.getPort()));
		socket.setSoTimeout(READ_TIMEOUT_MS);
		socket.setTcpNoDelay(true);
		return new KeptConnection(socket);
	}

	static String request(String route, String id) {
		return TestCaller.requestText("GET /" + route + "/x", id, TestCaller.REMAINING_MS, GatewayFixture.API_KEY, "",
				"");
	}

	/** Returns the headers of a request whose body the caller sends later. */
	static String headOf(String id, int bodyLength, String headers) {
		return TestCaller.requestText("POST /plain/x", id, TestCaller.REMAINING_MS, GatewayFixture.API_KEY,
				"Content-Length: " + bodyLength + "\r\n" + headers, "");
	}

	/** Sends a request and returns the status of its answer. */
	int call(String route, String id) {
		return exchange(request(route, id));
	}

	/** Sends a request and returns the status of its answer. */
	int exchange(String request) {
		try {
			send(request);
		}
		catch (IOException ex) {
			return NO_ANSWER;
		}
		return readStatus();
	}

	void send(String text) throws IOException {
		this.socket.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
	}

	/** Reads one response to its end. */
	int readStatus() {
		try {
			String statusLine = readLine();
			int length = 0;
			for (String line = readLine(); !line.isEmpty(); line = readLine()) {
				String header = line.toLowerCase();
				if (header.startsWith("content-length:")) {
					length = Integer.parseInt(header.substring(15).strip());
				}
				this.closing |= header.equals("connection: close");
			}
			this.input.skipNBytes(length);
			return Integer.parseInt(statusLine.split(" ")[1]);
		}
		catch (IOException ex) {
			return NO_ANSWER;
		}
	}

	/** Returns whether an answer said that the connection will be closed. */
	boolean isClosing() {
		return this.closing;
	}

	private String readLine() throws IOException {
		StringBuilder line = new StringBuilder();
		for (int next = this.input.read(); next != '\n'; next = this.input.read()) {
			if (next < 0) {
				throw new IOException("connection closed");
			}
			line.append((char) next);
		}
		return line.toString().strip();
	}

	@Override
	public void close() throws IOException {
		this.socket.close();
	}

}
