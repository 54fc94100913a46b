import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.ByteArrayOutputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.URLDecoder;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;

/**
 * Stand-in of the platform's metadata store, as far as entries and agents use it: keyed
 * topics with log-append, log-read and log-newest. It acknowledges each write at once.
 */
final class Store implements AutoCloseable {

	private static final int MAX_PAGE_ITEMS = 500;

	private final Map<String, List<StoredRecord>> topics = new HashMap<>();

	private final HttpServer server;

	private final ExecutorService threads = Executors.newCachedThreadPool((task) -> {
		Thread thread = new Thread(task, "store");
		thread.setDaemon(true);
		return thread;
	});

	Store() throws IOException {
		this.server = HttpServer.create(new InetSocketAddress("127.0.0.1", 0), 256);
		this.server.setExecutor(this.threads);
		this.server.createContext("/wigeontally/log-newest", this::newest);
		this.server.createContext("/wigeontally/log-read", this::read);
		this.server.createContext("/wigeontally/log-append", this::append);
		this.server.start();
	}

	int port() {
		return this.server.getAddress().getPort();
	}

	/**
	 * Writes a record as an operator or a replica does.
	 * @param topic topic with its prefix
	 * @param key the key
	 * @param value content; empty to remove the key
	 */
	synchronized void write(String topic, String key, String value) {
		append(topic, key, value.getBytes(StandardCharsets.UTF_8));
	}

	private synchronized int append(String topic, String key, byte[] value) {
		List<StoredRecord> records = records(topic);
		records.add(new StoredRecord(key, value));
		notifyAll();
		return records.size() - 1;
	}

	private List<StoredRecord> records(String topic) {
		return this.topics.computeIfAbsent(topic, (name) -> new ArrayList<>());
	}

	private void newest(HttpExchange exchange) throws IOException {
		Map<String, String> query = query(exchange);
		StringBuilder items = new StringBuilder();
		boolean more = false;
		int end;
		synchronized (this) {
			List<StoredRecord> records = records(query.get("topic"));
			end = records.size();
			TreeMap<String, Integer> newest = new TreeMap<>();
			for (int offset = 0; offset < end; offset++) {
				newest.put(records.get(offset).key, offset);
			}
			newest.values().removeIf((offset) -> records.get(offset).value.length == 0);
			int count = 0;
			for (Map.Entry<String, Integer> item : newest.tailMap(query.getOrDefault("after", ""), false).entrySet()) {
				if (count == MAX_PAGE_ITEMS) {
					more = true;
					break;
				}
				items.append((count++ > 0) ? "," : "")
					.append("{\"key\":\"")
					.append(item.getKey())
					.append("\",\"value\":\"")
					.append(Base64.getEncoder().encodeToString(records.get(item.getValue()).value))
					.append("\",\"offset\":")
					.append(item.getValue())
					.append("}");
			}
		}
		respond(exchange, "{\"items\":[" + items + "],\"has-more\":" + more + ",\"end\":" + end + "}");
	}

	private void read(HttpExchange exchange) throws IOException {
		Map<String, String> query = query(exchange);
		int from = Integer.parseInt(query.get("from"));
		long untilNs = System.nanoTime() + Long.parseLong(query.getOrDefault("wait-ms", "0")) * 1_000_000;
		ByteArrayOutputStream bytes = new ByteArrayOutputStream();
		synchronized (this) {
			List<StoredRecord> records = records(query.get("topic"));
			while (records.size() <= from && System.nanoTime() < untilNs) {
				try {
					wait(Math.max(1, (untilNs - System.nanoTime()) / 1_000_000));
				}
				catch (InterruptedException ex) {
					return;
				}
			}
			DataOutputStream page = new DataOutputStream(bytes);
			page.writeLong(records.size());
			page.writeLong(0);
			for (int offset = from; offset < records.size(); offset++) {
				byte[] key = records.get(offset).key.getBytes(StandardCharsets.UTF_8);
				page.writeInt(1 + key.length + records.get(offset).value.length);
				page.writeByte(key.length);
				page.write(key);
				page.write(records.get(offset).value);
			}
		}
		respond(exchange, "application/octet-stream", bytes.toByteArray());
	}

	private void append(HttpExchange exchange) throws IOException {
		String topic = query(exchange).get("topic");
		ByteBuffer body = ByteBuffer.wrap(exchange.getRequestBody().readAllBytes());
		int first = -1;
		while (body.remaining() > 4) {
			byte[] content = new byte[body.getInt()];
			body.get(content);
			int keyLength = content[0] & 0xff;
			byte[] value = new byte[content.length - 1 - keyLength];
			System.arraycopy(content, 1 + keyLength, value, 0, value.length);
			int offset = append(topic, new String(content, 1, keyLength, StandardCharsets.UTF_8), value);
			first = (first < 0) ? offset : first;
		}
		respond(exchange, "{\"offset\":" + first + ",\"end\":" + (first + 1) + "}");
	}

	private static Map<String, String> query(HttpExchange exchange) {
		Map<String, String> query = new HashMap<>();
		for (String pair : exchange.getRequestURI().getRawQuery().split("&")) {
			String[] parts = pair.split("=", 2);
			query.put(parts[0], URLDecoder.decode(parts[1], StandardCharsets.UTF_8));
		}
		return query;
	}

	private static void respond(HttpExchange exchange, String json) throws IOException {
		respond(exchange, "application/json", json.getBytes(StandardCharsets.UTF_8));
	}

	private static void respond(HttpExchange exchange, String type, byte[] body) throws IOException {
		exchange.getResponseHeaders().set("Content-Type", type);
		exchange.sendResponseHeaders(200, body.length);
		exchange.getResponseBody().write(body);
		exchange.close();
	}

	@Override
	public void close() {
		this.server.stop(0);
		this.threads.shutdownNow();
	}

	private record StoredRecord(String key, byte[] value) {

	}

}
