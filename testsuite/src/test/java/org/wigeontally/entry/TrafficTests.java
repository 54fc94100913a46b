package org.wigeontally.entry;

import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;

import io.vertx.core.Future;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.json.JsonObject;
import org.testng.annotations.AfterClass;
import org.testng.annotations.BeforeClass;
import org.testng.annotations.Test;

import org.wigeontally.emulator.experiment.Bundles;
import org.wigeontally.emulator.experiment.CallerAnswer;
import org.wigeontally.emulator.experiment.Plan;
import org.wigeontally.emulator.experiment.Scenario;
import org.wigeontally.errors.ErrorType;
import org.wigeontally.http.Headers;
import org.wigeontally.schema.generated.Address;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests request policies and the handling of invalid input with running daemons.
 */
public class TrafficTests {

	private static final String GENERATE = "/v1/services/" + Bundles.MODEL_SERVICE + "/v1/generate";

	private static final int READ_TIMEOUT_MS = 5_000;

	private static final double MAX_REFUSAL_MS = 2_000;

	private Scenario scenario;

	@BeforeClass
	public void start() throws Exception {
		Plan plan = Plan.of(2, 1, 2).withEngines(4, "--token-ms", "20");
		this.scenario = Scenario.start(plan, Files.createTempDirectory("wigeontally-traffic"));
	}

	@AfterClass(alwaysRun = true)
	public void stop() throws Exception {
		if (this.scenario != null) {
			this.scenario.close();
		}
	}

	/**
	 * A request that crashes every engine that runs it is sent repeatedly, through each
	 * entry in turn. The test fails if the agents do not send their loss notices to the
	 * entries.
	 */
	@Test(priority = 3)
	public void harmfulRequestCrashesAtMostTwoEngines() throws Exception {
		CallerAnswer last = null;
		for (int i = 0; i < 8; i++) {
			last = generate(i, "CRASH now");
			Thread.sleep(300);
		}
		assertThat(error(last)).isEqualTo(ErrorType.HARMFUL_REQUEST.number());
		assertThat(last.kind()).isEqualTo(CallerAnswer.Kind.NOT_RUN);
		assertThat(last.retryAfterMs()).isPositive();
		assertThat(sumOfStats("crashes")).isBetween(1, 2);
	}

	/**
	 * The first burst only warms up the processes, so its refusal times are not checked.
	 */
	@Test(priority = 1)
	public void overloadIsRefusedAsNotRunAndColdEnginesAreNotOverloaded() throws Exception {
		sendBurst();
		double slowestMs = sendBurst();
		assertThat(slowestMs).isLessThan(MAX_REFUSAL_MS);
		assertThat(sumOfStats("coldExcess")).isZero();
	}

	private double sendBurst() throws Exception {
		List<Future<CallerAnswer>> calls = new ArrayList<>();
		for (int i = 0; i < 200; i++) {
			calls.add(send(i, HttpMethod.POST, GENERATE, credential(), body("prompt " + i, 20)));
		}
		int done = 0;
		double slowestMs = 0;
		for (Future<CallerAnswer> call : calls) {
			CallerAnswer answer = Scenario.await(call);
			assertThat(answer.kind()).isIn(CallerAnswer.Kind.DONE, CallerAnswer.Kind.NOT_RUN);
			if (answer.kind() == CallerAnswer.Kind.DONE) {
				done++;
				continue;
			}
			assertThat(answer.retryAfterMs()).as(answer.body()).isPositive();
			slowestMs = Math.max(slowestMs, answer.totalMs());
		}
		assertThat(done).isBetween(4, 150);
		return slowestMs;
	}

	@Test(priority = 2)
	public void trafficIsCountedByOrganisationServiceAndClass() throws Exception {
		generate(0, "hello");
		String metrics = "";
		for (String entry : this.scenario.deployment().entries()) {
			metrics += this.scenario.get(entry, "/metrics");
		}
		assertThat(metrics).contains("wigeontally_first_token_seconds_bucket", "wigeontally_between_tokens_seconds_sum",
				"service=\"" + Bundles.MODEL_SERVICE + "\"", "class=\"normal\"");
		assertThat(this.scenario.get(this.scenario.deployment().hosts().get(0), "/metrics"))
			.contains("wigeontally_queue_seconds_count");
	}

	@Test(priority = 2)
	public void badInputGetsAClearError() throws Exception {
		Map<String, String> wrong = Map.of("Authorization", "Bearer nobody");
		assertThat(refusal(GENERATE, wrong, body("a", 1))).isEqualTo(ErrorType.BAD_CREDENTIAL);
		assertThat(refusal(GENERATE, Map.of(), body("a", 1))).isEqualTo(ErrorType.BAD_CREDENTIAL);
		assertThat(refusal("/v1/services/none/x", credential(), "")).isEqualTo(ErrorType.UNKNOWN_SERVICE);
		Map<String, String> priority = Map.of("Authorization", "Bearer " + Bundles.credential(1),
				"Wigeontally-Priority", "urgent");
		assertThat(refusal(GENERATE, priority, body("a", 1))).isEqualTo(ErrorType.BAD_REQUEST);
		Map<String, String> deadline = Map.of("Authorization", "Bearer " + Bundles.credential(1),
				"Wigeontally-Deadline-Ms", "soon");
		assertThat(refusal(GENERATE, deadline, body("a", 1))).isEqualTo(ErrorType.BAD_REQUEST);
		assertThat(refusal(GENERATE, credential(), "x".repeat(2 << 20))).isEqualTo(ErrorType.BODY_TOO_LARGE);
	}

	@Test(priority = 2)
	public void headerFloodAndSlowCallersDoNotBlockRequests() throws Exception {
		Address entry = this.scenario.deployment().entryAddresses().get(0);
		String flood = "GET /v1/addresses HTTP/1.1\r\nHost: x\r\n" + "X-Flood: abcdefgh\r\n".repeat(5_000) + "\r\n";
		assertThat(sendRaw(entry, flood)).contains(" 431 ");
		assertThat(sendRaw(entry, "nonsense\r\n\r\n")).contains(" 400 ");
		List<Socket> slow = new ArrayList<>();
		try {
			for (int i = 0; i < 200; i++) {
				Socket socket = new Socket(entry.getIp(), entry.getPort());
				socket.getOutputStream()
					.write("POST /v1/services/x/y HTTP/1.1\r\nHost: ".getBytes(StandardCharsets.UTF_8));
				slow.add(socket);
			}
			CallerAnswer answer = Scenario
				.await(this.scenario.caller().send(entry, HttpMethod.POST, GENERATE, credential(), body("b", 1)));
			assertThat(answer.kind()).isEqualTo(CallerAnswer.Kind.DONE);
		}
		finally {
			for (Socket socket : slow) {
				socket.close();
			}
		}
	}

	/**
	 * A dispatch with a malformed claim must release its admission slot. The test failed
	 * while such a dispatch kept its slot.
	 */
	@Test(priority = 2)
	public void claimsThatAreMalformedTakeNoAdmissionSlot() throws Exception {
		Address agent = this.scenario.deployment().address(this.scenario.deployment().hosts().get(0));
		String path = "/dispatch/" + Bundles.PLAIN_SERVICE;
		for (int i = 0; i < 40; i++) {
			Map<String, String> headers = Map.of(Headers.DISPATCH, "bad-" + i, Headers.CLAIM, "not a ticket");
			CallerAnswer refused = Scenario
				.await(this.scenario.caller().send(agent, HttpMethod.POST, path + "/bookings", headers, "{}"));
			assertThat(error(refused)).isEqualTo(ErrorType.BAD_REQUEST.number());
		}
		Map<String, String> headers = Map.of(Headers.DISPATCH, "good");
		CallerAnswer served = Scenario
			.await(this.scenario.caller().send(agent, HttpMethod.GET, path + "/stock", headers, ""));
		assertThat(served.kind()).isEqualTo(CallerAnswer.Kind.DONE);
	}

	private static String sendRaw(Address entry, String text) throws IOException {
		try (Socket socket = new Socket(entry.getIp(), entry.getPort())) {
			socket.setSoTimeout(READ_TIMEOUT_MS);
			socket.getOutputStream().write(text.getBytes(StandardCharsets.UTF_8));
			byte[] start = socket.getInputStream().readNBytes(20);
			return new String(start, StandardCharsets.UTF_8);
		}
	}

	private ErrorType refusal(String path, Map<String, String> headers, String body) throws Exception {
		CallerAnswer answer = Scenario.await(send(0, HttpMethod.POST, path, headers, body));
		assertThat(answer.kind()).isEqualTo(CallerAnswer.Kind.NOT_RUN);
		int number = error(answer);
		for (ErrorType type : ErrorType.values()) {
			if (type.number() == number) {
				return type;
			}
		}
		throw new AssertionError("no error with number " + number);
	}

	private CallerAnswer generate(int entry, String prompt) throws Exception {
		return Scenario.await(send(entry, HttpMethod.POST, GENERATE, credential(), body(prompt, 4)));
	}

	private Future<CallerAnswer> send(int entry, HttpMethod method, String path, Map<String, String> headers,
			String body) {
		List<Address> entries = this.scenario.deployment().entryAddresses();
		return this.scenario.caller().send(entries.get(entry % entries.size()), method, path, headers, body);
	}

	private int sumOfStats(String name) throws Exception {
		int sum = 0;
		for (String host : this.scenario.deployment().hosts()) {
			sum += new JsonObject(this.scenario.get("engine-" + host, "/stats")).getInteger(name);
		}
		return sum;
	}

	private static int error(CallerAnswer answer) {
		return new JsonObject(answer.body()).getInteger("error");
	}

	private static String body(String prompt, int tokens) {
		return new JsonObject().put("prompt", prompt).put("max_tokens", tokens).encode();
	}

	private static Map<String, String> credential() {
		return Map.of("Authorization", "Bearer " + Bundles.credential(1));
	}

}
