package org.wigeontally.emulator.experiment;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Map;

import io.vertx.core.Future;

/**
 * The main job: a deployment of three availability zones, a bundle rolled, requests
 * served while a zone leaves and returns and a new version of the model spreads, a
 * summary, everything stopped.
 */
public final class TryRun {

	private static final double REQUESTS_PER_SECOND = 60;

	private static final long LOAD_MS = 25_000;

	private static final long STEP_MS = 4000;

	private static final long SEED = 1;

	private TryRun() {
	}

	/**
	 * Runs the job.
	 * @param args unused
	 * @throws Exception if the deployment does not come up
	 */
	public static void main(String[] args) throws Exception {
		System.exit(run());
	}

	static int run() throws Exception {
		Path directory = Files.createTempDirectory("wigeontally-try");
		say("settings and output in " + directory);
		try (Scenario scenario = Scenario.start(Plan.of(3, 1, 1), directory)) {
			say("3 zones, 3 entry hosts and 3 backend server hosts run; bundle 'first' is in force");
			Future<LoadResult> load = scenario
				.load(LoadOptions.mixed(REQUESTS_PER_SECOND, LOAD_MS, Bundles.credential(1)), SEED);
			Thread.sleep(STEP_MS);
			Keys operator = scenario.deployment().operators().get(0);
			say("zone-3 out, revision " + scenario.operators().zone("zone-3", true, operator));
			Thread.sleep(STEP_MS);
			say("zone-3 back, revision " + scenario.operators().zone("zone-3", false, operator));
			long loadedMs = scenario.rollVersion("second", "first", Plan.SECOND_VERSION);
			say("bundle 'second' rolled; all engines had version v2 after " + loadedMs + " ms");
			LoadResult result = Scenario.await(load);
			return report(result, scenario.bookingsRan());
		}
	}

	private static int report(LoadResult result, Map<String, Integer> ran) {
		long doubled = result.doubled(ran);
		long falseOutcomes = result.falseOutcomes(ran);
		say(result.summary());
		System.out.printf("try: first byte p50 %.1f ms, p99 %.1f ms%n", result.firstByteMs(50), result.firstByteMs(99));
		System.out.printf("served %d of %d, lost %d, doubled %d, crossed %d, false outcomes %d%n", result.servedCount(),
				result.sentCount(), result.lostCount(), doubled, result.crossedCount(), falseOutcomes);
		boolean good = result.servedCount() == result.sentCount() && result.lostCount() == 0 && doubled == 0
				&& result.crossedCount() == 0 && falseOutcomes == 0;
		return good ? 0 : 1;
	}

	private static void say(String text) {
		System.out.println("try: " + text);
	}

}
