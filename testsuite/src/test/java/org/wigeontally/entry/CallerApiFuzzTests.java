package org.wigeontally.entry;

import java.io.IOException;
import java.net.Socket;
import java.net.SocketException;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Random;
import java.util.UUID;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpMethod;
import org.testng.annotations.AfterClass;
import org.testng.annotations.BeforeClass;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

import org.wigeontally.agent.AgentDaemon;
import org.wigeontally.emulator.backend.PlainServiceServer;
import org.wigeontally.emulator.experiment.Bundles;
import org.wigeontally.emulator.experiment.Keys;
import org.wigeontally.emulator.experiment.OperatorSession;
import org.wigeontally.emulator.experiment.Ports;
import org.wigeontally.emulator.platform.LogServer;
import org.wigeontally.emulator.platform.MemoryLog;
import org.wigeontally.misc.Clock;
import org.wigeontally.schema.generated.Address;
import org.wigeontally.schema.generated.AgentSettings;
import org.wigeontally.schema.generated.BackendKind;
import org.wigeontally.schema.generated.BackendSettings;
import org.wigeontally.schema.generated.EntrySettings;
import org.wigeontally.schema.generated.Model;
import org.wigeontally.schema.generated.Organisation;
import org.wigeontally.schema.generated.PlatformSettings;
import org.wigeontally.schema.generated.Service;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Sends malformed input to the HTTP interface for callers of a running entry. Each
 * request must be answered with a 4xx status or a stated outcome, or its connection
 * closed; the entry must serve requests afterwards. No booking may run under a
 * non-canonical path: a booking sent to "/%62ookings" once ran without a check of its
 * idempotency key.
 */
public class CallerApiFuzzTests {

	private static final int FUZZED_REQUESTS = 250;

	private static final int ANSWER_TIMEOUT_MS = 5000;

	private static final int FUZZ_TIMEOUT_MS = 100;

	private static final int START_TIMEOUT_MS = 20_000;

	private static final String VALID_REQUEST = """
			POST /v1/services/order-desk/bookings HTTP/1.1\r
			Host: entry\r
			Authorization: Bearer credential-1\r
			Idempotency-Key: %s\r
			Wigeontally-Key-Time: %d\r
			Wigeontally-Deadline-Ms: 3000\r
			Wigeontally-Priority: normal\r
			Content-Type: application/json\r
			Connection: close\r
			Content-Length: %d\r
			\r
			%s""";

	private static final List<String> INSERTED_FRAGMENTS = List.of("\r\n", "\n", " ", "\u0000", "%00", "%2f", "../",
			"//", "?", "#", "-1", "0", "9223372036854775808", "NaN", "x".repeat(9000), "é", "\u0001", ":",
			"Transfer-Encoding: chunked\r\n", "Content-Length: 5\r\n", "Wigeontally-Deadline-Ms: soon\r\n",
			"Wigeontally-Key-Time: -5\r\n", "Content-Type: application/grpc\r\n", "Expect: 100-continue\r\n",
			"Upgrade: h2c\r\n");

	private final Vertx vertx = Vertx.vertx();

	private Address address;

	private PlainServiceServer bookingService;

	private EntryDaemon entry;

	private AgentDaemon agent;

	@BeforeClass
	public void start() throws Exception {
		Keys firstOperator = Keys.create("olive");
		Keys secondOperator = Keys.create("piet");
		Address log = Ports.free();
		Address service = Ports.free();
		this.address = Ports.free();
		await(LogServer.start(this.vertx, log, MemoryLog.create(Clock.system(), 1)));
		this.bookingService = await(PlainServiceServer.start(this.vertx, service));
		PlatformSettings platform = PlatformSettings.newBuilder().setLog(log).build();
		EntrySettings entrySettings = EntrySettings.newBuilder()
			.setHost("entry-1")
			.setRegion("west")
			.setZone("west-a")
			.setListen(this.address)
			.setPlatform(platform)
			.setDrainMs(1000)
			.setBodyLimitBytes(65_536)
			.addOperatorKeys(firstOperator.operatorKey())
			.addOperatorKeys(secondOperator.operatorKey())
			.build();
		this.entry = await(EntryDaemon.start(this.vertx, entrySettings, Clock.system()));
		AgentSettings agentSettings = AgentSettings.newBuilder()
			.setHost("host-1")
			.setRegion("west")
			.setZone("west-a")
			.setListen(Ports.free())
			.addEntries(this.address)
			.setPlatform(platform)
			.setDrainMs(1000)
			.addBackends(BackendSettings.newBuilder()
				.setService(Bundles.PLAIN_SERVICE)
				.setKind(BackendKind.PLAIN_SERVICE)
				.setAddress(service)
				.setCapacity(16))
			.build();
		this.agent = await(AgentDaemon.start(this.vertx, agentSettings, Clock.system()));
		try (OperatorSession operators = OperatorSession.open(this.vertx, List.of(this.address))) {
			Model model = Model.newBuilder().setName("assist").setVersion("v1").setManifest("00".repeat(32)).build();
			operators.roll(Bundles.bundle("b1", "", model, List.of("entry-1"), List.of(firstOperator, secondOperator)),
					firstOperator, secondOperator);
		}
		long endMs = System.currentTimeMillis() + START_TIMEOUT_MS;
		while (statusOf(validRequest(UUID.randomUUID().toString())) != 200 && System.currentTimeMillis() < endMs) {
			Thread.sleep(100);
		}
		assertServes();
	}

	@AfterClass(alwaysRun = true)
	public void stop() throws Exception {
		this.agent.close();
		this.entry.close();
		await(this.vertx.close());
	}

	@DataProvider
	public Object[][] seeds() {
		return new Object[][] { { 1L }, { 2L } };
	}

	@Test(dataProvider = "seeds", timeOut = 120_000)
	public void servesAfterRawBytes(long seed) throws IOException {
		Random random = new Random(seed);
		for (int i = 0; i < FUZZED_REQUESTS; i++) {
			byte[] bytes = new byte[1 + random.nextInt(4000)];
			random.nextBytes(bytes);
			assertThat(statusOf(bytes, FUZZ_TIMEOUT_MS)).isNotEqualTo(500);
		}
		assertServes();
	}

	@Test(dataProvider = "seeds", timeOut = 120_000)
	public void servesAfterMutatedRequests(long seed) throws IOException {
		Random random = new Random(seed);
		for (int i = 0; i < FUZZED_REQUESTS; i++) {
			StringBuilder text = new StringBuilder(validRequest("fuzz-" + seed + "-" + i));
			for (int j = random.nextInt(4); j >= 0; j--) {
				int at = random.nextInt(text.length());
				if (random.nextBoolean()) {
					text.insert(at, INSERTED_FRAGMENTS.get(random.nextInt(INSERTED_FRAGMENTS.size())));
				}
				else {
					text.delete(at, Math.min(text.length(), at + random.nextInt(20)));
				}
			}
			byte[] bytes = text.toString().getBytes(StandardCharsets.UTF_8);
			assertThat(statusOf(bytes, FUZZ_TIMEOUT_MS)).as(text.toString()).isNotEqualTo(500);
		}
		assertServes();
	}

	@Test(timeOut = 120_000)
	public void refusesHugeHeadersAndBodies() throws IOException {
		String valid = validRequest("huge-1");
		assertThat(statusOf(valid.replace("Host: entry", "Host: entry\r\nX: " + "x".repeat(200_000)))).isIn(0, 400,
				431);
		assertThat(statusOf(valid.replace("Host: entry", "Host: entry\r\n" + "X: y\r\n".repeat(20_000)))).isIn(0, 400,
				431);
		assertThat(statusOf(valid.replace("/bookings", "/" + "b".repeat(100_000)))).isIn(0, 400, 414);
		assertThat(statusOf(request("huge-2", "x".repeat(100_000)))).isEqualTo(413);
		assertThat(statusOf(valid.replace("Content-Length: ", "Content-Length: 99"))).isIn(0, 400, 413);
		assertThat(this.bookingService.ran()).doesNotContainKey("huge-1");
		assertServes();
	}

	@DataProvider
	public Object[][] nonCanonicalPaths() {
		return new Object[][] { { "order-desk/%62ookings" }, { "order-desk/%2562ookings" }, { "order-desk//bookings" },
				{ "order-desk/./bookings" }, { "order-desk/x/../bookings" }, { "order%2Ddesk/bookings" },
				{ "order-desk%2fbookings" }, { "order-desk/../../admin/status" } };
	}

	@Test(dataProvider = "nonCanonicalPaths")
	public void rejectsNonCanonicalPaths(String path) throws IOException {
		String id = UUID.randomUUID().toString();
		int status = statusOf(validRequest(id).replace("order-desk/bookings", path));
		assertThat(status).isBetween(400, 499);
		assertThat(this.bookingService.ran()).doesNotContainKey(id);
	}

	@Test
	public void atMostOnceDependsOnlyOnThePath() {
		Service service = Service.newBuilder().setName("order-desk").addAtMostOncePaths("/bookings").build();
		for (String path : List.of("/bookings", "/bookings/", "/bookings?x=/y", "/bookings;a=b", "/bookings/;a=b?x")) {
			assertThat(request(service, path).mustRunAtMostOnce()).as(path).isTrue();
		}
		assertThat(request(service, "/bookings/7").mustRunAtMostOnce()).isFalse();
	}

	private static CallerRequest request(Service service, String path) {
		return new CallerRequest(Organisation.getDefaultInstance(), service, HttpMethod.POST, path, Buffer.buffer(),
				"normal", 0, "", 0);
	}

	@Test
	public void refusesARequestWithoutHost() throws IOException {
		assertThat(statusOf(validRequest("no-host").replace("Host: entry\r\n", ""))).isEqualTo(400);
		assertServes();
	}

	@Test
	public void countsRequestsByClassAndRefusalsByError() throws IOException {
		assertServes();
		statusOf(validRequest("wrong").replace("credential-1", "wrong"));
		String metrics = read("GET /metrics HTTP/1.1\r\nHost: entry\r\nConnection: close\r\n\r\n");
		assertThat(metrics)
			.containsPattern("wigeontally_requests_total\\{class=\"normal\",organisation=\"org-1\",outcome=\"done\","
					+ "service=\"order-desk\"} [1-9]")
			.containsPattern(
					"wigeontally_request_seconds_bucket\\{class=\"normal\",organisation=\"org-1\".*le=\"60.0\"} [1-9]")
			.containsPattern("wigeontally_error_answers_total\\{error=\"200\"} [1-9]")
			.contains("wigeontally_serving 1.0", "wigeontally_agents{liveness=\"live\"} 1.0");
	}

	private String read(String request) throws IOException {
		try (Socket socket = new Socket(this.address.getIp(), this.address.getPort())) {
			socket.getOutputStream().write(request.getBytes(StandardCharsets.UTF_8));
			return new String(socket.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
		}
	}

	private void assertServes() throws IOException {
		String id = UUID.randomUUID().toString();
		assertThat(statusOf(validRequest(id))).isEqualTo(200);
		assertThat(this.bookingService.ran()).containsEntry(id, 1);
	}

	private static String validRequest(String id) {
		return request(id, "{\"booking\":\"" + id + "\"}");
	}

	private static String request(String id, String body) {
		return VALID_REQUEST.formatted(id, System.currentTimeMillis(), body.length(), body);
	}

	private int statusOf(String text) throws IOException {
		return statusOf(text.getBytes(StandardCharsets.UTF_8), ANSWER_TIMEOUT_MS);
	}

	/**
	 * Sends bytes and reads the status line of the answer.
	 * @param bytes the bytes to send
	 * @param timeoutMs maximum wait for an answer
	 * @return the status, or 0 if the connection was closed or no answer arrived in time
	 * @throws IOException if the connection cannot be established
	 */
	private int statusOf(byte[] bytes, int timeoutMs) throws IOException {
		try (Socket socket = new Socket(this.address.getIp(), this.address.getPort())) {
			socket.setSoTimeout(timeoutMs);
			socket.getOutputStream().write(bytes);
			String line = new String(socket.getInputStream().readNBytes(12), StandardCharsets.ISO_8859_1);
			return line.startsWith("HTTP/1.") ? Integer.parseInt(line.substring(9, 12)) : 0;
		}
		catch (SocketException | SocketTimeoutException ex) {
			return 0;
		}
	}

	private static <T> T await(Future<T> future) throws Exception {
		return future.toCompletionStage().toCompletableFuture().get();
	}

}
