import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Stand-in of a model replica that answers each request with a stream of events. Each
 * event names the run that made it. A request with Last-Event-Id is a new run that goes on
 * after that event. A run ends when its connection is closed.
 */
final class Replica implements AutoCloseable {

	private static final int SLOTS = 16;

	final String id;

	private final String label;

	private final Record record;

	private final Map<String, Integer> begunAfter;

	private final ServerSocket socket;

	private final AtomicInteger runs = new AtomicInteger();

	private final AtomicInteger running = new AtomicInteger();

	private final long prefillMs;

	private final long pauseMs;

	private final int events;

	private final long bornMs = System.currentTimeMillis();

	private int beats;

	/**
	 * Starts a replica.
	 * @param label first letter of the names of its runs
	 * @param record what happens is written there
	 * @param begunAfter receives for each run the event after which it goes on
	 * @param prefillMs time until the first event of a run
	 * @param pauseMs time between two events
	 * @param events number of events of a whole stream
	 * @throws IOException if it cannot listen
	 */
	Replica(String label, Record record, Map<String, Integer> begunAfter, long prefillMs, long pauseMs, int events)
			throws IOException {
		this.label = label;
		this.id = "i-" + label.toLowerCase(Locale.ROOT) + Long.toHexString(this.bornMs);
		this.record = record;
		this.begunAfter = begunAfter;
		this.prefillMs = prefillMs;
		this.pauseMs = pauseMs;
		this.events = events;
		this.socket = new ServerSocket(0, 256, InetAddress.getByName("127.0.0.1"));
		start("replica-" + label, () -> {
			while (!this.socket.isClosed()) {
				Socket connection = this.socket.accept();
				connection.setTcpNoDelay(true);
				start("replica-" + label, () -> serve(connection));
			}
		});
	}

	int port() {
		return this.socket.getLocalPort();
	}

	/**
	 * Returns the entry that the replica writes to the store.
	 * @param service name of its service
	 * @param port port at which it is reached
	 * @return the entry
	 */
	String beat(String service, int port) {
		return """
				{"service":"%s","address":"127.0.0.1:%d","zone":"lautoka-a","version":"v1","slots":%d,"state":"ready",\
				"cold-remaining-ms":0,"stage":"both","models":[{"name":"m0","version":1,"adapters":[],\
				"layers":[{"from":0,"target":16,"version":1}]}],"born":%d,"seq":%d}""".formatted(service, port, SLOTS,
				this.bornMs, ++this.beats);
	}

	private void serve(Socket connection) throws IOException, InterruptedException {
		try (connection) {
			InputStream in = new BufferedInputStream(connection.getInputStream());
			OutputStream out = connection.getOutputStream();
			Map<String, String> request = Http.readHead(in);
			while (request != null) {
				in.readNBytes(Integer.parseInt(request.getOrDefault("content-length", "0")));
				answer(request, out);
				request = Http.readHead(in);
			}
		}
	}

	private void answer(Map<String, String> request, OutputStream out) throws IOException, InterruptedException {
		String attempt = request.get("x-attempt-id");
		String expected = request.get("x-expect-replica");
		if (attempt == null) {
			Http.write(out, "HTTP/1.1 400 Bad Request\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n");
			return;
		}
		if (expected != null && !expected.equals(this.id)) {
			Http.write(out, "HTTP/1.1 421 Misdirected Request\r\nX-Replica-Id: " + this.id + "\r\nX-Attempt-Id: "
					+ attempt + "\r\nContent-Length: 0\r\n\r\n");
			return;
		}
		if (this.running.incrementAndGet() > SLOTS) {
			this.running.decrementAndGet();
			Http.write(out, "HTTP/1.1 503 Service Unavailable\r\nX-Not-Executed: 1\r\nX-Attempt-Id: " + attempt
					+ "\r\nX-Replica-Load: " + SLOTS + ",0," + SLOTS + "\r\nContent-Length: 0\r\n\r\n");
			return;
		}
		String run = this.label + this.runs.incrementAndGet();
		int after = Integer.parseInt(request.getOrDefault("last-event-id", "0"));
		this.begunAfter.put(run, after);
		this.record.write("run     " + attempt + " " + run + " goes on after event " + after);
		try {
			write(attempt, run, after, out);
		}
		catch (IOException ex) {
			this.record.write("run     " + attempt + " " + run + " ends, its connection is closed");
			throw ex;
		}
		finally {
			this.running.decrementAndGet();
		}
	}

	private void write(String attempt, String run, int after, OutputStream out)
			throws IOException, InterruptedException {
		Thread.sleep(this.prefillMs);
		Http.write(out,
				"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nX-Attempt-Id: " + attempt
						+ "\r\nX-Replica-Signature: " + this.id + "." + run + "\r\nX-Replica-Load: "
						+ this.running.get() + ",0," + SLOTS + "\r\nTransfer-Encoding: chunked\r\n\r\n");
		for (int event = after + 1; event <= this.events; event++) {
			Http.writeChunk(out, "id: " + event + "\ndata: " + run + "\n\n");
			Thread.sleep(this.pauseMs);
		}
		Http.write(out, "0\r\n\r\n");
	}

	@Override
	public void close() throws IOException {
		this.socket.close();
	}

	static void start(String name, Step step) {
		Thread thread = new Thread(() -> {
			try {
				step.run();
			}
			catch (IOException | InterruptedException ex) {
				// The connection or the test has ended.
			}
		}, name);
		thread.setDaemon(true);
		thread.start();
	}

	interface Step {

		void run() throws IOException, InterruptedException;

	}

}
