package org.wigeontally.administration;

import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.net.SocketException;
import java.net.SocketTimeoutException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Random;

import org.testng.annotations.AfterClass;
import org.testng.annotations.BeforeClass;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests of the administration API with malformed input. Each request must be answered
 * with 4xx or a closed connection, and the API must still serve afterwards. The tests
 * were seen to fail when the handler of changes does not catch the parser's exception,
 * which results in status 500.
 */
public class AdministrationApiTests {

	private static final int FUZZED_REQUESTS = 300;

	private static final int FUZZ_TIMEOUT_MS = 100;

	private static final String VALID_CHANGE = """
			{"id":"change-00001","author":"olive","signature":"00","buildsOn":"0",
			"zone":{"zone":"west-a","out":true}}""";

	private InMemoryAdministration administration;

	private final HttpClient client = HttpClient.newHttpClient();

	@BeforeClass
	public void start() throws Exception {
		this.administration = InMemoryAdministration.start(List.of());
	}

	@AfterClass(alwaysRun = true)
	public void stop() {
		this.administration.close();
	}

	@Test
	public void refusesChangeOfUnknownOperatorWithFindings() throws Exception {
		HttpResponse<String> answer = post(VALID_CHANGE);
		assertThat(answer.statusCode()).isEqualTo(409);
		assertThat(answer.body()).contains("REFUSED", "110");
	}

	@Test
	public void answersInvalidChangesWithAllFindings() throws Exception {
		HttpResponse<String> answer = post("{\"id\":\"a b\",\"zone\":{}}");
		assertThat(answer.statusCode()).isEqualTo(400);
		assertThat(answer.body()).contains("\"id\"", "\"author\"", "\"signature\"", "\"zone.zone\"");
		assertThat(post("").statusCode()).isEqualTo(400);
		assertThat(post("[".repeat(100_000)).statusCode()).isEqualTo(400);
		assertThat(post("{\"zone\":".repeat(100_000)).statusCode()).isEqualTo(400);
		assertThat(post("{\"unknown\":1}").statusCode()).isEqualTo(400);
	}

	@Test
	public void refusesBodyOverTheLimit() throws Exception {
		HttpResponse<String> answer = post("{\"id\":\"" + "x".repeat(AdministrationApi.MAX_CHANGE_BYTES) + "\"}");
		assertThat(answer.statusCode()).isEqualTo(413);
		assertThat(answer.body()).contains("212");
	}

	@Test
	public void refusesUnknownPaths() throws Exception {
		assertThat(get("/v1/admin/nothing").statusCode()).isEqualTo(404);
		assertThat(get("/v1/admin/changes/%00%ff").statusCode()).isLessThan(500);
	}

	@DataProvider
	public Object[][] seeds() {
		return new Object[][] { { 1L }, { 2L } };
	}

	@Test(dataProvider = "seeds", timeOut = 60_000)
	public void servesAfterMutatedBodies(long seed) throws Exception {
		Random random = new Random(seed);
		for (int i = 0; i < FUZZED_REQUESTS; i++) {
			String body = mutate(random);
			assertThat(post(body).statusCode()).as(body).isBetween(400, 499);
		}
		assertThat(get("/v1/admin/status").statusCode()).isEqualTo(200);
	}

	@Test(dataProvider = "seeds", timeOut = 60_000)
	public void servesAfterRawBytes(long seed) throws Exception {
		Random random = new Random(seed);
		for (int i = 0; i < FUZZED_REQUESTS; i++) {
			byte[] bytes = new byte[1 + random.nextInt(2000)];
			random.nextBytes(bytes);
			byte[] head = "POST /v1/admin/changes HTTP/1.1\r\nHost: a\r\nContent-Length: "
				.getBytes(StandardCharsets.UTF_8);
			System.arraycopy(head, 0, bytes, 0, random.nextInt(Math.min(head.length, bytes.length) + 1));
			assertThat(statusOf(bytes)).isLessThan(500);
		}
		assertThat(get("/v1/admin/status").statusCode()).isEqualTo(200);
	}

	private int statusOf(byte[] bytes) throws IOException {
		try (Socket socket = new Socket("127.0.0.1", this.administration.port())) {
			socket.setSoTimeout(FUZZ_TIMEOUT_MS);
			socket.getOutputStream().write(bytes);
			InputStream input = socket.getInputStream();
			String line = new String(input.readNBytes(12), StandardCharsets.ISO_8859_1);
			return line.startsWith("HTTP/1.") ? Integer.parseInt(line.substring(9, 12)) : 0;
		}
		catch (SocketException | SocketTimeoutException ex) {
			return 0;
		}
	}

	private HttpResponse<String> post(String body) throws Exception {
		return this.client.send(HttpRequest.newBuilder(uri("/v1/admin/changes"))
			.POST(HttpRequest.BodyPublishers.ofString(body))
			.build(), HttpResponse.BodyHandlers.ofString());
	}

	private HttpResponse<String> get(String path) throws Exception {
		return this.client.send(HttpRequest.newBuilder(uri(path)).build(), HttpResponse.BodyHandlers.ofString());
	}

	private URI uri(String path) {
		return URI.create("http://127.0.0.1:" + this.administration.port() + path);
	}

	private static String mutate(Random random) {
		StringBuilder text = new StringBuilder(VALID_CHANGE);
		for (int i = random.nextInt(6); i >= 0; i--) {
			int at = random.nextInt(text.length());
			switch (random.nextInt(3)) {
				case 0 -> text.setCharAt(at, (char) random.nextInt(128));
				case 1 -> text.deleteCharAt(at);
				default -> text.insert(at, "{}[]\":,0-.eE\\u".charAt(random.nextInt(14)));
			}
		}
		return text.toString();
	}

}
