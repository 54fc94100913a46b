package org.wigeontally.emulator.experiment;

import java.util.Map;

import io.vertx.core.Future;

/**
 * A load with a fault in its middle, and what became of every request.
 *
 * @param load what came of the load
 * @param ran how often each booking ran
 */
public record FaultRun(LoadResult load, Map<String, Integer> ran) {

	private static final long SETTLE_MS = 1500;

	/**
	 * Runs a load; the fault begins after a quarter of it and ends at three quarters.
	 * @param scenario the deployment under load
	 * @param fault the fault
	 * @param options what to send
	 * @param seed seed of the mix
	 * @return what became of the requests
	 * @throws Exception if the fault cannot be brought about
	 */
	public static FaultRun run(Scenario scenario, Fault fault, LoadOptions options, long seed) throws Exception {
		Future<LoadResult> load = scenario.load(options, seed);
		Thread.sleep(options.durationMs() / 4);
		fault.begin(scenario);
		Thread.sleep(options.durationMs() / 2);
		fault.end(scenario);
		LoadResult result = Scenario.await(load);
		Thread.sleep(SETTLE_MS);
		return new FaultRun(result, scenario.bookingsRan());
	}

	/**
	 * Counts what must never happen: requests without an outcome, bookings that ran
	 * twice, answers that are not the caller's own, and outcomes that are not true.
	 * @return the count; 0 if all holds
	 */
	public long violations() {
		return this.load.lostCount() + this.load.doubled(this.ran) + this.load.crossedCount()
				+ this.load.falseOutcomes(this.ran);
	}

	/**
	 * Returns one line with the counts.
	 * @return the line
	 */
	public String summary() {
		return this.load.summary() + ", doubled " + this.load.doubled(this.ran) + ", false outcomes "
				+ this.load.falseOutcomes(this.ran);
	}

}
