import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;
import java.util.Random;
import java.util.StringJoiner;
import java.util.concurrent.Executors;

/** Stand-in of the origin of weights. */
final class Origin implements AutoCloseable {

	static final int PIECES = 96;

	static final int PIECE_BYTES = 24_576;

	private final HttpServer server;

	Origin() throws IOException {
		this.server = HttpServer.create(new InetSocketAddress("127.0.0.1", 0), 256);
		this.server.setExecutor(Executors.newCachedThreadPool((task) -> {
			Thread thread = new Thread(task, "origin");
			thread.setDaemon(true);
			return thread;
		}));
		this.server.createContext("/wigeontally/manifest/", this::manifest);
		this.server.createContext("/wigeontally/piece/", this::piece);
		this.server.start();
	}

	int port() {
		return this.server.getAddress().getPort();
	}

	static byte[] content(int version, int piece) {
		byte[] bytes = new byte[PIECE_BYTES];
		new Random(version * 1_000L + piece).nextBytes(bytes);
		return bytes;
	}

	private void manifest(HttpExchange exchange) throws IOException {
		int version = parameter(exchange, "version");
		StringJoiner digests = new StringJoiner("\",\"", "[\"", "\"]");
		for (int piece = 0; piece < PIECES; piece++) {
			digests.add(digest(content(version, piece)));
		}
		respond(exchange, ("{\"model\":\"m0\",\"version\":" + version + ",\"chunk-bytes\":" + PIECE_BYTES
				+ ",\"layers\":16,\"digests\":" + digests + "}")
			.getBytes());
	}

	private void piece(HttpExchange exchange) throws IOException {
		respond(exchange, content(parameter(exchange, "version"), parameter(exchange, "quantity")));
	}

	private static String digest(byte[] bytes) {
		try {
			return HexFormat.of().formatHex(MessageDigest.getInstance("SHA-256").digest(bytes));
		}
		catch (NoSuchAlgorithmException ex) {
			throw new IllegalStateException(ex);
		}
	}

	private static int parameter(HttpExchange exchange, String name) {
		for (String pair : exchange.getRequestURI().getQuery().split("&")) {
			if (pair.startsWith(name + "=")) {
				return Integer.parseInt(pair.substring(name.length() + 1));
			}
		}
		throw new IllegalArgumentException("no " + name);
	}

	private static void respond(HttpExchange exchange, byte[] body) throws IOException {
		exchange.sendResponseHeaders(200, body.length);
		exchange.getResponseBody().write(body);
		exchange.close();
	}

	@Override
	public void close() {
		this.server.stop(0);
	}

}
