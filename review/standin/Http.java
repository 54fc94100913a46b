import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.TreeMap;

/** Reads heads and bodies of HTTP/1.1 messages. */
final class Http {

	private Http() {
	}

	static String line(InputStream in) throws IOException {
		ByteArrayOutputStream line = new ByteArrayOutputStream();
		int next = in.read();
		while (next != '\n') {
			if (next < 0) {
				throw new EOFException("connection ended");
			}
			if (next != '\r') {
				line.write(next);
			}
			next = in.read();
		}
		return line.toString(StandardCharsets.ISO_8859_1);
	}

	/** Reads the header fields; names are in lower case. */
	static Map<String, String> headers(InputStream in) throws IOException {
		Map<String, String> headers = new TreeMap<>();
		for (String line = line(in); !line.isEmpty(); line = line(in)) {
			int colon = line.indexOf(':');
			headers.put(line.substring(0, colon).toLowerCase(), line.substring(colon + 1).strip());
		}
		return headers;
	}

	/** Reads a body with a length or in chunks; throws EOFException if it is incomplete. */
	static byte[] body(InputStream in, Map<String, String> headers) throws IOException {
		ByteArrayOutputStream body = new ByteArrayOutputStream();
		if ("chunked".equals(headers.get("transfer-encoding"))) {
			while (true) {
				int size = Integer.parseInt(line(in).strip(), 16);
				body.write(exactly(in, size));
				line(in);
				if (size == 0) {
					return body.toByteArray();
				}
			}
		}
		return exactly(in, Integer.parseInt(headers.getOrDefault("content-length", "0")));
	}

	private static byte[] exactly(InputStream in, int size) throws IOException {
		byte[] bytes = in.readNBytes(size);
		if (bytes.length < size) {
			throw new EOFException("connection ended within the body");
		}
		return bytes;
	}

}
