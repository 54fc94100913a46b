package org.wigeontally.emulator.measure;

import java.nio.file.Files;
import java.util.List;
import java.util.Map;

import com.beust.jcommander.Parameter;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.json.JsonObject;
import org.HdrHistogram.Histogram;

import org.wigeontally.emulator.experiment.Bundles;
import org.wigeontally.emulator.experiment.CallerAnswer;
import org.wigeontally.emulator.experiment.LoadOptions;
import org.wigeontally.emulator.experiment.LoadResult;
import org.wigeontally.emulator.experiment.Plan;
import org.wigeontally.emulator.experiment.Scenario;
import org.wigeontally.schema.generated.Address;

/**
 * Requests through 2 entries and 3 backend servers: the time that the system adds to
 * calling a backend server directly, and what became of every request. Direct calls and
 * calls through the system alternate in the same run.
 */
final class PathMeasurement implements Measurement {

	private static final int ENTRY_ZONES = 2;

	private static final double US_PER_MS = 1000;

	private static final int WARM_UP = 300;

	@Parameter(names = "--requests", description = "Timed requests of each kind")
	private int requests = 1500;

	@Parameter(names = "--rate", description = "Mixed requests a second in the checked load")
	private int rate = 100;

	@Override
	public String name() {
		return "path";
	}

	@Override
	public Figures run(long seed) throws Exception {
		Plan plan = Plan.of(ENTRY_ZONES, 1, 2);
		try (Scenario scenario = Scenario.start(plan, Files.createTempDirectory("wigeontally-path"))) {
			Histogram direct = new Histogram(3);
			Histogram through = new Histogram(3);
			for (int i = 0; i < WARM_UP + this.requests; i++) {
				double directMs = direct(scenario, i);
				double throughMs = through(scenario, i);
				if (i >= WARM_UP) {
					direct.recordValue((long) (directMs * US_PER_MS));
					through.recordValue((long) (throughMs * US_PER_MS));
				}
			}
			LoadOptions options = LoadOptions.mixed(this.rate, 8000, Bundles.credential(1));
			LoadResult load = Scenario.await(scenario.load(options, seed));
			return figures(direct, through, load, scenario.bookingsRan());
		}
	}

	private static double direct(Scenario scenario, int i) throws Exception {
		List<String> hosts = scenario.deployment().hosts();
		Address address = scenario.deployment().address("service-" + hosts.get(i % hosts.size()));
		return call(scenario, address, "/stock");
	}

	private static double through(Scenario scenario, int i) throws Exception {
		List<Address> entries = scenario.deployment().entryAddresses();
		return call(scenario, entries.get(i % entries.size()), "/v1/services/" + Bundles.PLAIN_SERVICE + "/stock");
	}

	private static double call(Scenario scenario, Address address, String path) throws Exception {
		Map<String, String> headers = Map.of("Authorization", "Bearer " + Bundles.credential(1));
		CallerAnswer answer = Scenario.await(scenario.caller().send(address, HttpMethod.GET, path, headers, ""));
		if (answer.status() != 200 || !new JsonObject(answer.body()).containsKey("pellets")) {
			throw new IllegalStateException("unexpected answer: " + answer);
		}
		return answer.totalMs();
	}

	private static Figures figures(Histogram direct, Histogram through, LoadResult load, Map<String, Integer> ran) {
		double directP50 = direct.getValueAtPercentile(50) / US_PER_MS;
		double directP99 = direct.getValueAtPercentile(99) / US_PER_MS;
		double throughP50 = through.getValueAtPercentile(50) / US_PER_MS;
		double throughP99 = through.getValueAtPercentile(99) / US_PER_MS;
		return Figures.create()
			.put("directP50Ms", directP50)
			.put("directP99Ms", directP99)
			.put("throughP50Ms", throughP50)
			.put("throughP99Ms", throughP99)
			.put("addedP50Ms", throughP50 - directP50)
			.put("addedP99Ms", throughP99 - directP99)
			.put("ratioP50", throughP50 / directP50)
			.put("ratioP99", throughP99 / directP99)
			.put("sent", load.sentCount())
			.put("served", load.servedCount())
			.put("refused", load.refusedCount())
			.put("unknown", load.unknownCount())
			.put("lost", load.lostCount())
			.put("doubled", load.doubled(ran))
			.put("crossed", load.crossedCount())
			.put("falseOutcomes", load.falseOutcomes(ran));
	}

}
