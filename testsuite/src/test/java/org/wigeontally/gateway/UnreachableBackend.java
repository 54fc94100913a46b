package org.wigeontally.gateway;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;

import io.vertx.core.json.JsonObject;

import org.wigeontally.platform.standin.FakeBackend;

/**
 * Backend server that takes one request and answers nothing. Connections to it time out
 * once its backlog is full.
 */
final class UnreachableBackend implements AutoCloseable {

	private static final int BACKLOG = 1;

	private static final int MAX_FILLERS = 16;

	private static final int FILL_TIMEOUT_MS = 200;

	private final ServerSocket server = new ServerSocket(0, BACKLOG, InetAddress.getLoopbackAddress());

	private final List<Socket> fillers = new ArrayList<>();

	private volatile Socket request;

	UnreachableBackend() throws IOException {
		Thread acceptor = new Thread(this::acceptRequest, "unreachable-backend");
		acceptor.setDaemon(true);
		acceptor.start();
	}

	private void acceptRequest() {
		try {
			Socket accepted = this.server.accept();
			if (accepted.getInputStream().read() >= 0) {
				this.request = accepted;
			}
		}
		catch (IOException ex) {
			// The test is over.
		}
	}

	boolean hasRequest() {
		return this.request != null;
	}

	JsonObject registration(String service) {
		return FakeBackend.registration(this.server.getLocalPort(), service, "zone-a", "ready", 1);
	}

	void closeAfterFillingBacklog() throws IOException {
		for (int i = 0; i < MAX_FILLERS; i++) {
			Socket filler = new Socket();
			this.fillers.add(filler);
			try {
				filler.connect(new InetSocketAddress(InetAddress.getLoopbackAddress(), this.server.getLocalPort()),
						FILL_TIMEOUT_MS);
			}
			catch (IOException ex) {
				break;
			}
		}
		this.request.close();
	}

	@Override
	public void close() throws IOException {
		for (Socket filler : this.fillers) {
			filler.close();
		}
		this.server.close();
	}

}
