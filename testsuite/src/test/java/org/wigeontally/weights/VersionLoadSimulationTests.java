package org.wigeontally.weights;

import java.util.ArrayList;
import java.util.List;

import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

import org.wigeontally.emulator.loads.LoadResult;
import org.wigeontally.emulator.loads.LoadSetting;
import org.wigeontally.emulator.loads.LoadSimulation;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Fleets in three regions load two versions announced shortly one after the other, in
 * virtual time.
 */
public class VersionLoadSimulationTests {

	private static final int SEEDS = 20;

	/** Engines from which a replay is so long that fewer seeds are run in each build. */
	private static final int LARGE_FLEET = 24;

	private static final int SEEDS_OF_LARGE_FLEETS = 4;

	/** A quarter of the engines stays in service until a deadline forces all to load. */
	private static final double MAX_SHARE_OUT = 0.75;

	/** A report, the answer to a call, and two looks of an agent. */
	private static final long MAX_FIRST_LOAD_DELAY_MS = 300;

	/** Two looks of an agent. */
	private static final long MAX_IDLE_MS = 100;

	@DataProvider
	public Object[][] settings() {
		List<Object[]> rows = new ArrayList<>();
		for (int engines : new int[] { 6, 10, 24, 63 }) {
			for (long gapMs : new long[] { 4_000, 2_000 }) {
				LoadSetting setting = LoadSetting.of(engines, gapMs);
				rows.add(new Object[] { "arrivals spread", setting });
				rows.add(new Object[] { "arrivals together", setting.withArrivals(4_500, 5_500) });
				rows.add(new Object[] { "arrivals early", setting.withArrivals(2_000, 3_500) });
				rows.add(new Object[] { "silence of 0.8 s", setting.withSilence(800) });
				rows.add(new Object[] { "silence of 2.5 s", setting.withSilence(2_500) });
				rows.add(new Object[] { "agent dies in its turn", setting.withDyingAgent() });
			}
		}
		return rows.toArray(Object[][]::new);
	}

	/** In the order of addresses, up to all engines took no requests at a time. */
	@Test(dataProvider = "settings")
	public void enginesStayInServiceWhileOthersLoad(String load, LoadSetting setting) {
		double missingMs = 0;
		double baselineMissingMs = 0;
		int seeds = (setting.engines() < LARGE_FLEET) ? SEEDS : SEEDS_OF_LARGE_FLEETS;
		for (int seed = 1; seed <= seeds; seed++) {
			LoadResult result = LoadSimulation.inTurns(setting, seed);
			assertThat(result.largestShareOut()).as("%s, seed %d", load, seed).isLessThanOrEqualTo(MAX_SHARE_OUT);
			assertThat(result.longestIdleMs()).as("%s, seed %d", load, seed).isLessThanOrEqualTo(MAX_IDLE_MS);
			missingMs += result.missingCapacityMs();
			baselineMissingMs += LoadSimulation.byAddress(setting, seed).missingCapacityMs();
		}
		assertThat(missingMs).as(load).isLessThanOrEqualTo(baselineMissingMs);
	}

	@Test
	public void firstLoadBeginsWhenAnEngineHoldsTheVersion() {
		for (int seed = 1; seed <= SEEDS; seed++) {
			LoadResult result = LoadSimulation.inTurns(LoadSetting.of(10, 4_000), seed);
			assertThat(result.firstLoadDelayMs()).as("seed %d", seed).isLessThanOrEqualTo(MAX_FIRST_LOAD_DELAY_MS);
		}
	}

}
