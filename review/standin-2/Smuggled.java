import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.Socket;
import java.nio.file.Path;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/**
 * Requests whose body holds the text of another request. Checks rule UNASKED: no replica
 * runs a request that was smuggled inside another one. Without trouble the bodies are sent
 * with their length; with trouble, with a transfer coding that the entry does not know.
 */
final class Smuggled {

	private static final int REQUESTS = 10;

	private static final String[] CODINGS = { "gzip", "identity", "chunked, identity", "xchunked" };

	private Smuggled() {
	}

	public static void main(String[] args) {
		Case.run(args, Smuggled::run);
	}

	private static int run(boolean trouble, Record record, Path folder) throws Exception {
		Set<String> ran = ConcurrentHashMap.newKeySet();
		try (Store store = new Store();
				Entry entry = new Entry("edge-lautoka-a-1", folder);
				Desk desk = new Desk(record, ran)) {
			Site.configure(store);
			Replica.start("beats", () -> {
				while (true) {
					store.write("keyed.servers", desk.id, desk.beat());
					Thread.sleep(1_200);
				}
			});
			entry.start(store.port(), List.of());
			if (!entry.awaitReady(20_000)) {
				record.write("the entry did not become ready");
				return Case.NOT_RUN;
			}
			Thread.sleep(1_500);
			return play(trouble, entry, record, ran);
		}
	}

	private static int play(boolean trouble, Entry entry, Record record, Set<String> ran) throws InterruptedException {
		int answered = 0;
		for (int i = 0; i < REQUESTS; i++) {
			String outer = "a%06x".formatted(i);
			String inner = "smuggled-" + i;
			String body = head("POST /filo73/other", inner) + "Content-Length: 0\r\n\r\n";
			String coding = CODINGS[i % CODINGS.length];
			String framing = trouble ? "Transfer-Encoding: " + coding + "\r\n\r\n" + (coding.startsWith("chunked")
					? "0\r\n\r\n" : "") : "Content-Length: " + body.length() + "\r\n\r\n";
			record.write("send    " + outer + " " + framing.lines().findFirst().get() + ", body holds the text of request "
					+ inner);
			answered += send(entry, head("POST /filo73/order", outer) + framing + body, record, outer) ? 1 : 0;
			Thread.sleep(200);
		}
		long smuggled = ran.stream().filter((id) -> id.startsWith("smuggled")).count();
		record.write("result  " + REQUESTS + " requests sent, " + answered + " answered with 200, " + smuggled
				+ " that were smuggled inside them have run");
		System.out.println(smuggled + " smuggled requests have run");
		if (smuggled > 0) {
			return Case.BROKEN;
		}
		return (trouble || answered == REQUESTS) ? Case.HELD : Case.NOT_RUN;
	}

	private static String head(String methodAndPath, String attempt) {
		return methodAndPath + " HTTP/1.1\r\nHost: " + Streams.HOST + "\r\nX-Attempt-Id: " + attempt
				+ "\r\nX-Deadline-Ms: 1536\r\nX-Credential: " + Streams.KEY + "\r\n";
	}

	private static boolean send(Entry entry, String request, Record record, String attempt) {
		boolean first = false;
		try (Socket connection = new Socket(InetAddress.getByName("127.0.0.1"), entry.front)) {
			connection.setSoTimeout(700);
			Http.write(connection.getOutputStream(), request);
			InputStream in = new BufferedInputStream(connection.getInputStream());
			for (Map<String, String> head = Http.readHead(in); head != null; head = Http.readHead(in)) {
				record.write("answer  " + attempt + " gets " + head.get("") + " for "
						+ head.getOrDefault("x-attempt-id", "no attempt"));
				first = first || head.get("").contains(" 200 ") && attempt.equals(head.get("x-attempt-id"));
				in.readNBytes(Integer.parseInt(head.getOrDefault("content-length", "0")));
			}
		}
		catch (IOException ex) {
			record.write("end     " + attempt + " " + ex.getMessage());
		}
		return first;
	}

}
