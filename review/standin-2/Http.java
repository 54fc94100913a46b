import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.Locale;
import java.util.Map;

/** Reads and writes HTTP/1.1 messages on plain sockets. */
final class Http {

	private Http() {
	}

	/**
	 * Reads a head.
	 * @param in the connection
	 * @return headers by lower-case name, and the first line under the empty name; null at
	 * the end of the connection
	 * @throws IOException if the connection is lost
	 */
	static Map<String, String> readHead(InputStream in) throws IOException {
		String line = readLine(in);
		while (line != null && line.isEmpty()) {
			line = readLine(in);
		}
		if (line == null) {
			return null;
		}
		Map<String, String> head = new HashMap<>(Map.of("", line));
		for (line = readLine(in); line != null && !line.isEmpty(); line = readLine(in)) {
			int colon = line.indexOf(':');
			head.put(line.substring(0, colon).toLowerCase(Locale.ROOT), line.substring(colon + 1).strip());
		}
		return (line != null) ? head : null;
	}

	static String readLine(InputStream in) throws IOException {
		StringBuilder line = new StringBuilder();
		for (int next = in.read(); next >= 0; next = in.read()) {
			if (next == '\n') {
				return line.toString();
			}
			if (next != '\r') {
				line.append((char) next);
			}
		}
		return null;
	}

	static void write(OutputStream out, String text) throws IOException {
		out.write(text.getBytes(StandardCharsets.ISO_8859_1));
		out.flush();
	}

	static void writeChunk(OutputStream out, String text) throws IOException {
		write(out, Integer.toHexString(text.length()) + "\r\n" + text + "\r\n");
	}

	/**
	 * Reads a chunk of a body.
	 * @param in the connection
	 * @return its text; empty at the end of the body, null if the connection has ended
	 * @throws IOException if the connection is lost
	 */
	static String readChunk(InputStream in) throws IOException {
		String size = readLine(in);
		if (size == null) {
			return null;
		}
		byte[] bytes = in.readNBytes(Integer.parseInt(size.split(";")[0].strip(), 16));
		readLine(in);
		return new String(bytes, StandardCharsets.ISO_8859_1);
	}

}
