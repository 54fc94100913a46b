import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.Map;
import java.util.Set;

/** Stand-in of a replica of the service that books; it answers each request at once. */
final class Desk implements AutoCloseable {

	final String id = "i-desk" + Long.toHexString(System.currentTimeMillis());

	private final Record record;

	private final Set<String> ran;

	private final ServerSocket socket;

	private final long bornMs = System.currentTimeMillis();

	private int beats;

	/**
	 * Starts a replica.
	 * @param record what happens is written there
	 * @param ran receives the ids of the requests that have run
	 * @throws IOException if it cannot listen
	 */
	Desk(Record record, Set<String> ran) throws IOException {
		this.record = record;
		this.ran = ran;
		this.socket = new ServerSocket(0, 256, InetAddress.getByName("127.0.0.1"));
		Replica.start("desk", () -> {
			while (!this.socket.isClosed()) {
				Socket connection = this.socket.accept();
				Replica.start("desk", () -> serve(connection));
			}
		});
	}

	String beat() {
		return """
				{"service":"%s","address":"127.0.0.1:%d","zone":"lautoka-a","version":"v1","slots":6,"state":"ready",\
				"cold-remaining-ms":0,"born":%d,"seq":%d}""".formatted(Site.DESK, this.socket.getLocalPort(),
				this.bornMs, ++this.beats);
	}

	private void serve(Socket connection) throws IOException {
		try (connection) {
			InputStream in = new BufferedInputStream(connection.getInputStream());
			for (Map<String, String> request = Http.readHead(in); request != null; request = Http.readHead(in)) {
				in.readNBytes(Integer.parseInt(request.getOrDefault("content-length", "0")));
				String attempt = request.get("x-attempt-id");
				this.ran.add(attempt);
				this.record.write("run     " + attempt + " (" + request.get("") + ", X-Tenant "
						+ request.get("x-tenant") + ")");
				Http.write(connection.getOutputStream(),
						"HTTP/1.1 200 OK\r\nX-Attempt-Id: " + attempt + "\r\nX-Replica-Signature: " + this.id + "."
								+ attempt + "\r\nX-Replica-Load: 0,0,6\r\nContent-Length: 2\r\n\r\nok");
			}
		}
	}

	@Override
	public void close() throws IOException {
		this.socket.close();
	}

}
