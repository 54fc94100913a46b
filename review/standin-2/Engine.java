import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.Arrays;
import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;

/**
 * Stand-in of a model replica with a staging area. It loads what is staged when it accepts
 * an order, and notes which pieces had been spoilt for more than three seconds then. While
 * its machine stands still, it handles nothing; what arrives meanwhile is handled
 * afterwards.
 */
final class Engine implements AutoCloseable {

	/** A piece that turned bad so lately doesn't count (RULES.md, WHOLE). */
	private static final long EXCUSED_MS = 3_000;

	static final long BEAT_MS = 1_200;

	private static final long LOAD_MS = 300;

	private static final long PAUSE_MS = 60;

	private static final int EVENTS = 16;

	private static final int SLOTS = 16;

	final String id;

	private final String label;

	private final Record record;

	private final ServerSocket socket;

	private final long bornMs = System.currentTimeMillis();

	private final Map<Integer, byte[]> staged = new HashMap<>();

	private final Map<Integer, Long> badSinceMs = new HashMap<>();

	private int version = 1;

	private int orders;

	private boolean busy;

	private boolean frozen;

	private int running;

	private int beats;

	private long lastBeatMs;

	private int spoiltRuns;

	private Set<Integer> spoiltPieces = Set.of();

	private Runnable onOrder = () -> {
	};

	Engine(String label, String ip, Record record) throws IOException {
		this.label = label;
		this.id = "i-" + label + Long.toHexString(this.bornMs);
		this.record = record;
		for (int piece = 0; piece < Origin.PIECES; piece++) {
			this.staged.put(piece, Origin.content(1, piece));
		}
		this.socket = new ServerSocket(0, 256, InetAddress.getByName(ip));
		Replica.start("engine-" + label, () -> {
			while (!this.socket.isClosed()) {
				Socket connection = this.socket.accept();
				connection.setTcpNoDelay(true);
				Replica.start("engine-" + label, () -> serve(connection));
			}
		});
	}

	int port() {
		return this.socket.getLocalPort();
	}

	/** Sets what happens when the bytes of an order have arrived, once. */
	synchronized void whenOrdered(Runnable action) {
		this.onOrder = action;
	}

	synchronized void setFrozen(boolean isFrozen) {
		this.frozen = isFrozen;
		notifyAll();
	}

	/** Spoils staged pieces. */
	synchronized void spoil(int count) {
		for (int piece = 0; piece < count; piece++) {
			byte[] bytes = this.staged.get(piece).clone();
			bytes[0] ^= 1;
			this.staged.put(piece, bytes);
			this.badSinceMs.put(piece, this.record.nowMs());
		}
		this.record.write("rot     " + count + " pieces that lie at engine " + this.label + " turn bad");
	}

	synchronized int spoiltRuns() {
		return this.spoiltRuns;
	}

	synchronized boolean isLoadedWrong() {
		return !this.spoiltPieces.isEmpty();
	}

	synchronized int version() {
		return this.version;
	}

	/**
	 * Returns the entry that the replica writes to the store, once its machine runs.
	 * @return the entry
	 * @throws InterruptedException if the test ends
	 */
	synchronized String beat() throws InterruptedException {
		awaitWake();
		this.lastBeatMs = this.record.nowMs();
		return """
				{"service":"%s","address":"%s:%d","zone":"lautoka-a","version":"v1","slots":%d,"state":"ready",\
				"cold-remaining-ms":0,"stage":"both","models":%s,"born":%d,"seq":%d}""".formatted(Site.ENGINES,
				this.socket.getInetAddress().getHostAddress(), port(), SLOTS, models(), this.bornMs, ++this.beats);
	}

	/** Returns whether the replica has written nothing for three heartbeat intervals. */
	synchronized boolean isLapsed() {
		return this.record.nowMs() - this.lastBeatMs > 3 * BEAT_MS;
	}

	private String models() {
		return "[{\"name\":\"m0\",\"version\":" + this.version + ",\"adapters\":[],\"layers\":[{\"from\":0,\"target\":16,"
				+ "\"version\":" + this.version + "}]}]";
	}

	private synchronized void awaitWake() throws InterruptedException {
		while (this.frozen) {
			wait();
		}
	}

	private void serve(Socket connection) throws IOException, InterruptedException {
		try (connection) {
			InputStream in = new BufferedInputStream(connection.getInputStream());
			OutputStream out = connection.getOutputStream();
			for (Map<String, String> head = Http.readHead(in); head != null; head = Http.readHead(in)) {
				byte[] body = in.readNBytes(Integer.parseInt(head.getOrDefault("content-length", "0")));
				String target = head.get("").split(" ")[1];
				if (target.equals("/wigeontally/order")) {
					Runnable action;
					synchronized (this) {
						action = this.onOrder;
						this.onOrder = () -> {
						};
					}
					action.run();
				}
				awaitWake();
				handle(head, target, body, out);
			}
		}
	}

	private void handle(Map<String, String> head, String target, byte[] body, OutputStream out)
			throws IOException, InterruptedException {
		if (target.equals("/wigeontally/report")) {
			String report;
			synchronized (this) {
				report = "{\"stage\":\"both\",\"models\":" + models() + ",\"busy\":" + this.busy + ",\"seq\":" + this.orders
						+ ",\"queued\":0,\"active\":" + this.running + ",\"kv-used\":0,\"kv-total\":317000,\"handles\":0,"
						+ "\"pace\":1.0,\"born\":" + this.bornMs + "}";
			}
			respond(out, 200, "", report.getBytes());
		}
		else if (target.equals("/wigeontally/order")) {
			respond(out, order(new String(body)), "", new byte[0]);
		}
		else if (target.startsWith("/wigeontally/stage-put/")) {
			synchronized (this) {
				int piece = piece(target);
				this.staged.put(piece, body);
				this.badSinceMs.remove(piece);
			}
			respond(out, 200, "", new byte[0]);
		}
		else if (target.startsWith("/wigeontally/stage-get/")) {
			byte[] bytes;
			synchronized (this) {
				bytes = target.contains("quantity=") ? this.staged.get(piece(target))
						: ("{\"held\":" + new TreeSet<>(this.staged.keySet()) + "}").getBytes();
			}
			respond(out, (bytes != null) ? 200 : 404, "", (bytes != null) ? bytes : new byte[0]);
		}
		else {
			run(head, out);
		}
	}

	private static int piece(String target) {
		return Integer.parseInt(target.replaceAll(".*quantity=([0-9]+).*", "$1"));
	}

	private synchronized int order(String body) {
		int expected = number(body, "expected");
		int ordered = number(body, "version");
		if (this.busy || expected != this.orders) {
			this.record.write("order   version " + ordered + " at engine " + this.label + " refused (409)");
			return 409;
		}
		this.orders++;
		this.busy = true;
		Set<Integer> spoilt = new TreeSet<>();
		for (int piece = 0; piece < Origin.PIECES; piece++) {
			boolean right = Arrays.equals(this.staged.get(piece), Origin.content(ordered, piece));
			long sinceMs = this.badSinceMs.getOrDefault(piece, 0L);
			if (!right && this.record.nowMs() - sinceMs > EXCUSED_MS) {
				spoilt.add(piece);
			}
		}
		this.record.write("order   version " + ordered + " at engine " + this.label + " accepted, pieces spoilt for over "
				+ EXCUSED_MS + " ms: " + spoilt);
		Replica.start("load-" + this.label, () -> load(ordered, spoilt));
		return 202;
	}

	private static int number(String json, String field) {
		return Integer.parseInt(json.replaceAll("(?s).*\"" + field + "\":([0-9]+).*", "$1"));
	}

	// What runs ends first; nothing new is accepted meanwhile.
	private void load(int ordered, Set<Integer> spoilt) throws InterruptedException {
		synchronized (this) {
			while (this.running > 0) {
				wait();
			}
		}
		Thread.sleep(LOAD_MS);
		awaitWake();
		synchronized (this) {
			this.version = ordered;
			this.spoiltPieces = spoilt;
			this.busy = false;
		}
		this.record.write("load    engine " + this.label + " has loaded version " + ordered);
	}

	private void run(Map<String, String> head, OutputStream out) throws IOException, InterruptedException {
		String attempt = head.get("x-attempt-id");
		String echo = "X-Attempt-Id: " + attempt + "\r\n";
		boolean wrong;
		int used;
		synchronized (this) {
			String expectedVersion = head.getOrDefault("x-expect-version", Integer.toString(this.version));
			if (!this.id.equals(head.getOrDefault("x-expect-replica", this.id))
					|| !expectedVersion.equals(Integer.toString(this.version))) {
				respond(out, 421, echo, new byte[0]);
				return;
			}
			if (this.busy || this.running >= SLOTS) {
				respond(out, 503, echo + "X-Not-Executed: 1\r\n", new byte[0]);
				return;
			}
			this.running++;
			used = this.version;
			wrong = !this.spoiltPieces.isEmpty();
			this.spoiltRuns += wrong ? 1 : 0;
		}
		this.record.write((wrong ? "BROKEN  " : "run     ") + attempt + " at engine " + this.label + " on version " + used
				+ (wrong ? ", made with the spoilt pieces " + this.spoiltPieces : ""));
		try {
			Http.write(out, "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n" + echo + "X-Replica-Signature: "
					+ this.id + "." + attempt + "\r\nX-Weight-Versions: " + used + "\r\nTransfer-Encoding: chunked\r\n\r\n");
			for (int event = 1; event <= EVENTS; event++) {
				Thread.sleep(PAUSE_MS);
				awaitWake();
				Http.writeChunk(out, "id: " + event + "\ndata: " + this.label + "\n\n");
			}
			Http.write(out, "0\r\n\r\n");
		}
		finally {
			synchronized (this) {
				this.running--;
				notifyAll();
			}
		}
	}

	private static void respond(OutputStream out, int status, String headers, byte[] body) throws IOException {
		Http.write(out, "HTTP/1.1 " + status + " Status\r\n" + headers + "Content-Length: " + body.length + "\r\n\r\n");
		out.write(body);
		out.flush();
	}

	@Override
	public void close() throws IOException {
		this.socket.close();
	}

}
