package org.wigeontally.emulator.measure;

import java.nio.file.Files;
import java.util.Map;

import com.beust.jcommander.Parameter;
import io.vertx.core.Future;
import io.vertx.core.json.JsonObject;

import org.wigeontally.emulator.experiment.Bundles;
import org.wigeontally.emulator.experiment.Keys;
import org.wigeontally.emulator.experiment.LoadOptions;
import org.wigeontally.emulator.experiment.LoadResult;
import org.wigeontally.emulator.experiment.Plan;
import org.wigeontally.emulator.experiment.Scenario;

/**
 * Service before, while and after an availability zone is out. The load fits into the
 * zones that remain, so that they allow all of it.
 */
final class ZonesMeasurement implements Measurement {

	private static final String ZONE = "zone-3";

	private static final String HOST = "host-zone-3-1";

	@Parameter(names = "--rate", description = "Requests a second")
	private int rate = 100;

	@Parameter(names = "--seconds", description = "Length of each of the three phases")
	private int seconds = 8;

	@Override
	public String name() {
		return "zones";
	}

	@Override
	public Figures run(long seed) throws Exception {
		try (Scenario scenario = Scenario.start(Plan.of(3, 1, 1), Files.createTempDirectory("wigeontally-zones"))) {
			Keys operator = scenario.deployment().operators().get(0);
			LoadOptions options = LoadOptions.mixed(this.rate, this.seconds * 1000L, Bundles.credential(1));
			LoadResult warmUp = Scenario.await(scenario.load(options, seed));
			LoadResult before = Scenario.await(scenario.load(options, seed + 1));
			Future<LoadResult> outLoad = scenario.load(options, seed + 2);
			scenario.operators().zone(ZONE, true, operator);
			long outMs = System.currentTimeMillis();
			LoadResult during = Scenario.await(outLoad);
			long lateWorkMs = lateWorkMs(scenario, outMs);
			Future<LoadResult> backLoad = scenario.load(options, seed + 3);
			scenario.operators().zone(ZONE, false, operator);
			LoadResult after = Scenario.await(backLoad);
			Map<String, Integer> ran = scenario.bookingsRan();
			long backWorkMs = lateWorkMs(scenario, outMs);
			System.out.println("before: " + before.summary());
			System.out.println("out:    " + during.summary());
			System.out.println("back:   " + after.summary());
			return Figures.create()
				.put("lost", warmUp.lostCount() + before.lostCount() + during.lostCount() + after.lostCount())
				.put("doubled", before.doubled(ran))
				.put("crossed", before.crossedCount() + during.crossedCount() + after.crossedCount())
				.put("falseOutcomes", before.falseOutcomes(ran) + during.falseOutcomes(ran) + after.falseOutcomes(ran))
				.put("lateWorkMs", lateWorkMs)
				.put("goodputRatio", ratio(during.servedCount(), during.sentCount()))
				.put("backGoodputRatio", ratio(after.servedCount(), after.sentCount()))
				.put("worksAgain", (backWorkMs > lateWorkMs) ? 1 : 0)
				.put("beforeP99Ms", before.totalMs(99))
				.put("p99Ratio", during.totalMs(99) / before.totalMs(99))
				.put("backP99Ratio", after.totalMs(99) / before.totalMs(99))
				.put("resent", during.resentCount());
		}
	}

	private static double ratio(long part, long whole) {
		return (double) part / whole;
	}

	private static long lateWorkMs(Scenario scenario, long outMs) throws Exception {
		JsonObject stats = new JsonObject(scenario.get("engine-" + HOST, "/stats"));
		return Math.max(0, stats.getLong("lastStartMs") - outMs);
	}

}
