package org.wigeontally.gateway;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

import org.wigeontally.platform.standin.FakeBackend;

/**
 * Backend server that answers each request when it has read the head, and ends the
 * connection while the rest may still be on its way.
 */
public final class EarlyBackend implements AutoCloseable {

	private static final Pattern ATTEMPT_ID = Pattern.compile("(?i)attempt-id: (\\S+)");

	private static final int RECEIVE_BUFFER_BYTES = 16 * 1024;

	private final ServerSocket server = new ServerSocket();

	private final String response;

	private final Ending ending;

	private volatile long endDelayMs;

	public EarlyBackend(String response, Ending ending) throws IOException {
		this.response = response;
		this.ending = ending;
		this.server.setReceiveBufferSize(RECEIVE_BUFFER_BYTES);
		this.server.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0));
		Thread acceptor = new Thread(this::acceptConnections, "early-backend");
		acceptor.setDaemon(true);
		acceptor.start();
	}

	/**
	 * Sets the time from each response to the end of its connection.
	 * @param delayMs the time
	 */
	public void setEndDelayMs(long delayMs) {
		this.endDelayMs = delayMs;
	}

	public int port() {
		return this.server.getLocalPort();
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
		Matcher id = ATTEMPT_ID.matcher(readHead(socket.getInputStream()));
		String attemptId = id.find() ? id.group(1) : "none";
		FakeBackend.ReceivedRequest arrival = new FakeBackend.ReceivedRequest("POST", "/",
				Map.of("x-attempt-id", attemptId), "");
		OutputStream out = socket.getOutputStream();
		out.write((FakeBackend.signedResponseHead(arrival) + this.response).getBytes(StandardCharsets.ISO_8859_1));
		out.flush();
		Thread.sleep(this.endDelayMs);
		if (this.ending == Ending.RESET) {
			socket.setSoLinger(true, 0);
		}
		else if (this.ending == Ending.ORDERLY) {
			socket.shutdownOutput();
			socket.getInputStream().transferTo(OutputStream.nullOutputStream());
		}
	}

	private static String readHead(InputStream in) throws IOException {
		StringBuilder text = new StringBuilder();
		while (text.indexOf("\r\n\r\n") < 0) {
			int next = in.read();
			if (next < 0) {
				throw new IOException("connection ended within the head");
			}
			text.append((char) next);
		}
		return text.toString();
	}

	@Override
	public void close() throws IOException {
		this.server.close();
	}

	/** How a connection ends while the request is still being written. */
	public enum Ending {

		/** By a reset. */
		RESET,
		/** By a close with unread bytes, upon which the operating system resets it. */
		CLOSE_UNREAD,
		/** By an end of output; the rest of the request is read. */
		ORDERLY

	}

}
