import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.atomic.AtomicInteger;

/** Clients that ask an entry for streams, each on a connection of its own. */
final class Streams {

	static final String HOST = "jepu9.example";

	static final String KEY = "jnbanfqasnmgkcuyj8pj";

	private static final int DEADLINE_MS = 6_033;

	/** Eight times the longest pause of the deployment's sheet. */
	private static final int MAX_GAP_MS = 3_200;

	private final int port;

	private final Record record;

	private final AtomicInteger attempts = new AtomicInteger();

	private final List<Stream> streams = new ArrayList<>();

	Streams(int port, Record record) {
		this.port = port;
		this.record = record;
	}

	/** Sends one request in the background. */
	void send() {
		Stream stream = new Stream("a%06x".formatted(this.attempts.incrementAndGet()));
		synchronized (this.streams) {
			this.streams.add(stream);
		}
		Replica.start("client", () -> request(stream));
	}

	List<Stream> all() {
		synchronized (this.streams) {
			return List.copyOf(this.streams);
		}
	}

	private void request(Stream stream) throws IOException {
		this.record.write("send    " + stream.attempt);
		try (Socket connection = new Socket()) {
			connection.connect(new InetSocketAddress(InetAddress.getByName("127.0.0.1"), this.port), 1_000);
			connection.setSoTimeout(MAX_GAP_MS);
			Http.write(connection.getOutputStream(),
					"POST /lepu270/2f HTTP/1.1\r\nHost: " + HOST + "\r\nX-Attempt-Id: " + stream.attempt
							+ "\r\nX-Model: m0\r\nX-Token-Usage: 800,250\r\nX-Prompt-Prefix: 5c1e07a2:40,"
							+ stream.attempt.substring(1) + ":760\r\nX-Deadline-Ms: " + DEADLINE_MS + "\r\nX-Credential: "
							+ KEY + "\r\nContent-Length: 4\r\n\r\ntext");
			read(stream, new BufferedInputStream(connection.getInputStream()));
		}
		catch (SocketTimeoutException ex) {
			stream.end = "given up by the client";
		}
		catch (IOException ex) {
			stream.end = "cut: " + ex.getMessage();
		}
		finally {
			this.record.write("end     " + stream.attempt + " " + stream.end);
		}
	}

	private void read(Stream stream, InputStream in) throws IOException {
		Map<String, String> head = Http.readHead(in);
		if (head == null) {
			stream.end = "closed without an answer";
			return;
		}
		String status = head.get("").split(" ")[1];
		if (!status.equals("200")) {
			stream.end = "status " + status;
			return;
		}
		String text = "";
		for (String chunk = Http.readChunk(in); chunk == null || !chunk.isEmpty(); chunk = Http.readChunk(in)) {
			if (chunk == null) {
				stream.end = "cut in the answer";
				return;
			}
			text += chunk;
			for (int end = text.indexOf("\n\n"); end >= 0; end = text.indexOf("\n\n")) {
				String[] lines = text.substring(0, end).split("\n");
				text = text.substring(end + 2);
				int id = Integer.parseInt(lines[0].substring("id: ".length()));
				String run = lines[1].substring("data: ".length());
				this.record.write("event   " + stream.attempt + " " + id + " of run " + run);
				stream.events.add(new Event(id, run));
			}
		}
		stream.end = "complete";
	}

	/** One request and what came back. */
	static final class Stream {

		final String attempt;

		final List<Event> events = new ArrayList<>();

		volatile String end = "open";

		private Stream(String attempt) {
			this.attempt = attempt;
		}

	}

	/**
	 * An event as the client received it.
	 *
	 * @param id its id
	 * @param run the run that made it
	 */
	record Event(int id, String run) {

	}

}
