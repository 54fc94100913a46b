import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.ByteArrayOutputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.Executors;

/**
 * Stand-in of the platform's store: keyed topics with log-newest, log-read (with its
 * wait) and log-append. It keeps everything, so no read is answered with 410.
 */
final class Store {

	private final Map<String, List<Entry>> topics = new HashMap<>();

	private final HttpServer server;

	private record Entry(String key, byte[] value) {
	}

	Store() throws IOException {
		this.server = HttpServer.create(new InetSocketAddress("127.0.0.1", 0), 256);
		this.server.setExecutor(Executors.newCachedThreadPool(Store::daemon));
		this.server.createContext("/", this::handle);
		this.server.start();
	}

	static Thread daemon(Runnable task) {
		Thread thread = new Thread(task);
		thread.setDaemon(true);
		return thread;
	}

	int port() {
		return this.server.getAddress().getPort();
	}

	/** Writes the newest value of a key; an empty text removes the key. */
	synchronized void put(String topic, String key, String value) {
		topic(topic).add(new Entry(key, value.getBytes(StandardCharsets.UTF_8)));
		notifyAll();
	}

	private List<Entry> topic(String name) {
		return this.topics.computeIfAbsent(name, (absent) -> new ArrayList<>());
	}

	private void handle(HttpExchange exchange) throws IOException {
		Map<String, String> query = new HashMap<>();
		String text = exchange.getRequestURI().getQuery();
		for (String pair : (text != null) ? text.split("&") : new String[0]) {
			String[] parts = pair.split("=", 2);
			query.put(parts[0], parts[1]);
		}
		byte[] body = exchange.getRequestBody().readAllBytes();
		byte[] answer;
		String path = exchange.getRequestURI().getPath();
		if (path.equals("/wigeontally/log-newest")) {
			answer = newest(query);
			exchange.getResponseHeaders().set("Content-Type", "application/json");
		}
		else if (path.equals("/wigeontally/log-read")) {
			answer = read(query);
		}
		else if (path.equals("/wigeontally/log-append")) {
			answer = append(query, body);
			exchange.getResponseHeaders().set("Content-Type", "application/json");
		}
		else {
			exchange.sendResponseHeaders(404, -1);
			exchange.close();
			return;
		}
		exchange.sendResponseHeaders(200, answer.length);
		exchange.getResponseBody().write(answer);
		exchange.close();
	}

	private synchronized byte[] newest(Map<String, String> query) {
		List<Entry> entries = topic(query.get("topic"));
		TreeMap<String, Integer> offsets = new TreeMap<>();
		for (int i = 0; i < entries.size(); i++) {
			if (entries.get(i).value().length == 0) {
				offsets.remove(entries.get(i).key());
			}
			else {
				offsets.put(entries.get(i).key(), i);
			}
		}
		StringBuilder items = new StringBuilder();
		offsets.forEach((key, offset) -> items.append((items.length() == 0) ? "" : ",")
			.append("{\"key\":\"" + key + "\",\"value\":\""
					+ Base64.getEncoder().encodeToString(entries.get(offset).value()) + "\",\"offset\":" + offset
					+ "}"));
		return ("{\"items\":[" + items + "],\"has-more\":false,\"end\":" + entries.size() + "}")
			.getBytes(StandardCharsets.UTF_8);
	}

	private synchronized byte[] read(Map<String, String> query) throws IOException {
		List<Entry> entries = topic(query.get("topic"));
		int from = Integer.parseInt(query.get("from"));
		long deadlineNs = System.nanoTime() + Long.parseLong(query.getOrDefault("wait-ms", "0")) * 1_000_000;
		while (entries.size() <= from && System.nanoTime() < deadlineNs) {
			try {
				wait(Math.max(1, (deadlineNs - System.nanoTime()) / 1_000_000));
			}
			catch (InterruptedException ex) {
				break;
			}
		}
		ByteArrayOutputStream bytes = new ByteArrayOutputStream();
		DataOutputStream out = new DataOutputStream(bytes);
		out.writeLong(entries.size());
		out.writeLong(0);
		for (int i = from; i < entries.size(); i++) {
			byte[] key = entries.get(i).key().getBytes(StandardCharsets.UTF_8);
			out.writeInt(1 + key.length + entries.get(i).value().length);
			out.writeByte(key.length);
			out.write(key);
			out.write(entries.get(i).value());
		}
		return bytes.toByteArray();
	}

	private synchronized byte[] append(Map<String, String> query, byte[] body) {
		int length = body[4] & 0xff;
		String key = new String(body, 5, length, StandardCharsets.UTF_8);
		put(query.get("topic"), key, new String(body, 5 + length, body.length - 5 - length, StandardCharsets.ISO_8859_1));
		int end = topic(query.get("topic")).size();
		return ("{\"offset\":" + (end - 1) + ",\"end\":" + end + "}").getBytes(StandardCharsets.UTF_8);
	}

}
