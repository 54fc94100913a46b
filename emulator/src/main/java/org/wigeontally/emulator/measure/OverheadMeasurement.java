package org.wigeontally.emulator.measure;

import java.nio.file.Files;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;

import com.beust.jcommander.Parameter;
import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.json.JsonObject;

import org.wigeontally.emulator.experiment.Bundles;
import org.wigeontally.emulator.experiment.CallerAnswer;
import org.wigeontally.emulator.experiment.ManagedProcess;
import org.wigeontally.emulator.experiment.Plan;
import org.wigeontally.emulator.experiment.ProcessCost;
import org.wigeontally.emulator.experiment.Scenario;
import org.wigeontally.schema.generated.Address;

/**
 * What a request, a token and an open stream cost at an entry and at an agent: processor
 * time as the kernel counts it and live heap after a collection. One entry, one agent.
 */
final class OverheadMeasurement implements Measurement {

	private static final String GENERATE = "/v1/services/" + Bundles.MODEL_SERVICE + "/v1/generate";

	private static final String STOCK = "/v1/services/" + Bundles.PLAIN_SERVICE + "/stock";

	private static final int CAPACITY = 256;

	private static final int CALLERS = 8;

	private static final int IDLE_MS = 5_000;

	private static final int STREAM_TOKENS = 500;

	private static final long OPEN_TIMEOUT_MS = 12_000;

	private static final long RETRY_MS = 200;

	private static final double US_PER_MS = 1_000;

	private static final double US_PER_S = 1_000_000;

	@Parameter(names = "--requests", description = "Timed requests")
	private int requests = 6_000;

	@Parameter(names = "--streams", description = "Streams open at once")
	private int streams = 200;

	@Override
	public String name() {
		return "overhead";
	}

	@Override
	public Figures run(long seed) throws Exception {
		Plan plan = Plan.of(1, 1, 1).withEngines(CAPACITY, "--token-ms", "50");
		try (Scenario scenario = Scenario.start(plan, Files.createTempDirectory("wigeontally-overhead"))) {
			ManagedProcess entry = scenario.deployment().process(scenario.deployment().entries().get(0));
			ManagedProcess agent = scenario.deployment().process(scenario.deployment().hosts().get(0));
			sendRequests(scenario, this.requests / 2);
			Figures figures = Figures.create();
			Cost idle = Cost.read(entry, agent);
			Thread.sleep(IDLE_MS);
			Cost idleUsed = Cost.read(entry, agent).since(idle);
			figures.put("idleCorePercentEntry", idleUsed.entryMs * 100 / IDLE_MS)
				.put("idleCorePercentAgent", idleUsed.agentMs * 100 / IDLE_MS);
			requestCosts(figures, scenario, entry, agent);
			streamCosts(figures, scenario, entry, agent);
			return figures;
		}
	}

	private void requestCosts(Figures figures, Scenario scenario, ManagedProcess entry, ManagedProcess agent)
			throws Exception {
		Cost before = Cost.read(entry, agent);
		int done = sendRequests(scenario, this.requests);
		Cost used = Cost.read(entry, agent).since(before);
		double entryUs = used.entryMs * US_PER_MS / done;
		double agentUs = used.agentMs * US_PER_MS / done;
		figures.put("requests", done)
			.put("cpuUsPerRequestEntry", entryUs)
			.put("cpuUsPerRequestAgent", agentUs)
			.put("requestsPerCoreSecondEntry", US_PER_S / entryUs)
			.put("requestsPerCoreSecondAgent", US_PER_S / agentUs);
	}

	private void streamCosts(Figures figures, Scenario scenario, ManagedProcess entry, ManagedProcess agent)
			throws Exception {
		long entryHeap = ProcessCost.liveHeapBytes(entry);
		long agentHeap = ProcessCost.liveHeapBytes(agent);
		Cost before = Cost.read(entry, agent);
		List<Future<CallerAnswer>> calls = new ArrayList<>();
		for (int i = 0; i < this.streams; i++) {
			calls.add(stream(scenario, i));
		}
		int open = awaitOpen(scenario);
		figures.put("openStreams", open)
			.put("heapBytesPerStreamEntry", (ProcessCost.liveHeapBytes(entry) - entryHeap) / (double) open)
			.put("heapBytesPerStreamAgent", (ProcessCost.liveHeapBytes(agent) - agentHeap) / (double) open);
		int whole = 0;
		for (Future<CallerAnswer> call : calls) {
			whole += Scenario.await(call).body().contains("[DONE]") ? 1 : 0;
		}
		Cost used = Cost.read(entry, agent).since(before);
		double tokens = (double) whole * STREAM_TOKENS;
		figures.put("wholeStreams", whole)
			.put("cpuUsPerTokenEntry", used.entryMs * US_PER_MS / tokens)
			.put("cpuUsPerTokenAgent", used.agentMs * US_PER_MS / tokens);
	}

	private int awaitOpen(Scenario scenario) throws Exception {
		String engine = "engine-" + scenario.deployment().hosts().get(0);
		long endMs = System.currentTimeMillis() + OPEN_TIMEOUT_MS;
		int open = 0;
		while (open < this.streams && System.currentTimeMillis() < endMs) {
			Thread.sleep(RETRY_MS);
			open = new JsonObject(scenario.get(engine, "/load")).getInteger("running");
		}
		return open;
	}

	private static Future<CallerAnswer> stream(Scenario scenario, int i) {
		String body = new JsonObject().put("prompt", "stream " + i).put("max_tokens", STREAM_TOKENS).encode();
		return send(scenario, HttpMethod.POST, GENERATE, body).compose((answer) -> {
			if (answer.kind() != CallerAnswer.Kind.NOT_RUN) {
				return Future.succeededFuture(answer);
			}
			Promise<CallerAnswer> later = Promise.promise();
			scenario.vertx().setTimer(RETRY_MS, (id) -> stream(scenario, i).onComplete(later));
			return later.future();
		});
	}

	private static int sendRequests(Scenario scenario, int count) throws Exception {
		List<Future<Integer>> callers = new ArrayList<>();
		for (int i = 0; i < CALLERS; i++) {
			callers.add(sendInTurn(scenario, count / CALLERS, 0));
		}
		int done = 0;
		for (Future<Integer> caller : callers) {
			done += Scenario.await(caller);
		}
		return done;
	}

	private static Future<Integer> sendInTurn(Scenario scenario, int left, int done) {
		if (left == 0) {
			return Future.succeededFuture(done);
		}
		return send(scenario, HttpMethod.GET, STOCK, "").compose((answer) -> {
			int served = (answer.kind() == CallerAnswer.Kind.DONE) ? done + 1 : done;
			return sendInTurn(scenario, left - 1, served);
		});
	}

	private static Future<CallerAnswer> send(Scenario scenario, HttpMethod method, String path, String body) {
		Address entry = scenario.deployment().entryAddresses().get(0);
		Map<String, String> headers = Map.of("Authorization", "Bearer " + Bundles.credential(1));
		return scenario.caller().send(entry, method, path, headers, body);
	}

	/**
	 * Processor time used by both processes.
	 *
	 * @param entryMs by the entry, in milliseconds
	 * @param agentMs by the agent, in milliseconds
	 */
	private record Cost(double entryMs, double agentMs) {

		static Cost read(ManagedProcess entry, ManagedProcess agent) throws Exception {
			return new Cost(ProcessCost.cpuMs(entry), ProcessCost.cpuMs(agent));
		}

		Cost since(Cost before) {
			return new Cost(this.entryMs - before.entryMs, this.agentMs - before.agentMs);
		}

	}

}
