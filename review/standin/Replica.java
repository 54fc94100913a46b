import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Map;

/**
 * Stand-in of a replica. It registers and renews its record, checks the expected id, and
 * answers each request with a signed stream of events at a steady pace, or with a short
 * body on a route that is no stream. It never breaks off an answer.
 */
final class Replica {

	private static final int KEEP_ALIVE_S = 5;

	private final String id;

	private final String service;

	private final boolean engine;

	private final int events;

	private final int eventMs;

	private final Record record;

	private final ServerSocket server;

	private final long born = System.currentTimeMillis();

	private final Store store;

	private volatile boolean registered = true;

	private volatile boolean grey;

	private int ranWhileGrey;

	private int seq;

	Replica(Store store, Record record, String id, String service, boolean engine, int events, int eventMs)
			throws IOException {
		this.store = store;
		this.record = record;
		this.id = id;
		this.service = service;
		this.engine = engine;
		this.events = events;
		this.eventMs = eventMs;
		this.server = new ServerSocket(0, 256, InetAddress.getByName("127.0.0.1"));
		Store.daemon(this::accept).start();
		Store.daemon(this::beat).start();
	}

	String id() {
		return this.id;
	}

	/** From now on two of five requests that it has run end with status 503. */
	void turnGrey() {
		this.grey = true;
	}

	private synchronized boolean fails() {
		return this.grey && this.ranWhileGrey++ % 5 < 2;
	}

	private void beat() {
		while (true) {
			synchronized (this) {
				if (this.registered) {
					write();
				}
			}
			sleep(1_200);
		}
	}

	private void write() {
		this.seq++;
		String models = this.engine ? "[{\"name\":\"m0\",\"version\":1,\"adapters\":[]}]" : "[]";
		this.store.put("keyed.servers", this.id, "{\"service\":\"" + this.service + "\",\"address\":\"127.0.0.1:"
				+ this.server.getLocalPort()
				+ "\",\"zone\":\"zone-a\",\"version\":\"v1\",\"slots\":16,\"state\":\"ready\",\"cold-remaining-ms\":0,"
				+ "\"stage\":\"both\",\"models\":" + models + ",\"born\":" + this.born + ",\"seq\":" + this.seq + "}");
	}

	/** Removes the record: the replica is leaving and has never reported draining. */
	synchronized void removeRecord() {
		this.registered = false;
		this.store.put("keyed.servers", this.id, "");
	}

	private void accept() {
		while (true) {
			try {
				Socket socket = this.server.accept();
				socket.setTcpNoDelay(true);
				Store.daemon(() -> serve(socket)).start();
			}
			catch (IOException ex) {
				return;
			}
		}
	}

	private void serve(Socket socket) {
		String id = null;
		try (socket) {
			InputStream in = new BufferedInputStream(socket.getInputStream());
			OutputStream out = socket.getOutputStream();
			while (true) {
				socket.setSoTimeout(KEEP_ALIVE_S * 1_000);
				String[] first = Http.line(in).split(" ");
				socket.setSoTimeout(0);
				Map<String, String> headers = Http.headers(in);
				Http.body(in, headers);
				id = headers.get("x-attempt-id");
				String expected = headers.get("x-expect-replica");
				if (expected != null && !expected.equals(this.id)) {
					write(out, "HTTP/1.1 421 Misdirected Request\r\nX-Replica-Id: " + this.id
							+ "\r\nContent-Length: 0\r\n\r\n");
					continue;
				}
				this.record.ran(id, this.id, headers);
				String head = "HTTP/1.1 200 OK\r\nX-Attempt-Id: " + id + "\r\nX-Replica-Signature: s." + this.id + "."
						+ id + "\r\nKeep-Alive: timeout=" + KEEP_ALIVE_S + "\r\n";
				if (fails()) {
					sleep(15);
					write(out, head.replace("200 OK", "503 Service Unavailable") + "Content-Length: 0\r\n\r\n");
					this.record.add("replica", this.id, "ran it and failed, 503 without X-Not-Executed", id);
				}
				else if (first[1].startsWith("/stream/")) {
					stream(out, head, headers);
				}
				else {
					sleep(15);
					String answer = "answer of " + id;
					write(out, head + "Content-Length: " + answer.length() + "\r\n\r\n" + answer);
				}
				this.record.add("replica", this.id, "end", id);
			}
		}
		catch (IOException ex) {
			if (id != null) {
				this.record.add("replica", this.id, "connection ended", id + " " + ex.getMessage());
			}
		}
	}

	private void stream(OutputStream out, String head, Map<String, String> headers) throws IOException {
		int next = Integer.parseInt(headers.getOrDefault("last-event-id", "0")) + 1;
		write(out, head + "Content-Type: text/event-stream\r\nX-Weight-Versions: 1\r\n"
				+ "Transfer-Encoding: chunked\r\n\r\n");
		for (int i = next; i <= this.events; i++) {
			sleep(this.eventMs);
			String event = "id: " + i + "\ndata: " + headers.get("x-attempt-id") + " " + i + "\n\n";
			write(out, Integer.toHexString(event.length()) + "\r\n" + event + "\r\n");
		}
		write(out, "0\r\n\r\n");
	}

	private static void write(OutputStream out, String text) throws IOException {
		out.write(text.getBytes(StandardCharsets.ISO_8859_1));
		out.flush();
	}

	static void sleep(long ms) {
		try {
			Thread.sleep(Math.max(0, ms));
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
	}

}
