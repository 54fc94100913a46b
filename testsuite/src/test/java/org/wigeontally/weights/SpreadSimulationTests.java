package org.wigeontally.weights;

import java.util.ArrayList;
import java.util.List;

import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

import org.wigeontally.emulator.spreading.SpreadResult;
import org.wigeontally.emulator.spreading.SpreadSetting;
import org.wigeontally.emulator.spreading.SpreadSimulation;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Two versions announced 3 s apart on links that take about 3 s for each, in virtual
 * time. Guards against hosts that use half of their links, and against an older version
 * that is finished although the newer one arrives in time for both.
 */
public class SpreadSimulationTests {

	private static final int SEEDS = 2;

	/** Of the time that the origin and the share of a link for weights take. */
	private static final double MAX_MEDIAN_RATIO = 1.3;

	/** Mean time until a simulated host learns of a version. */
	private static final double LEARNING_MS = 200;

	/** A tenth of the target for the first event of a stream. */
	private static final double MAX_LIVE_DELAY_MS = 40;

	private static final double MAX_COPIES = 1.1;

	/** Hosts that die during a fetch may each cost one more copy of a stripe. */
	private static final double MAX_COPIES_WITH_DEATHS = 1.5;

	private static final double MAX_LOADED_TWICE = 0.1;

	@DataProvider
	public Object[][] settings() {
		List<Object[]> rows = new ArrayList<>();
		for (int hosts : new int[] { 24, 33, 55 }) {
			for (SpreadSetting.Disruption disruption : SpreadSetting.Disruption.values()) {
				rows.add(new Object[] { hosts, disruption });
			}
		}
		return rows.toArray(Object[][]::new);
	}

	/** The newer version can arrive before the deadline of the older one. */
	@Test(dataProvider = "settings")
	public void newerVersionArrivesForBothDeadlines(int hosts, SpreadSetting.Disruption disruption) {
		SpreadSetting setting = SpreadSetting.contended(hosts).with(disruption);
		for (int seed = 1; seed <= SEEDS; seed++) {
			SpreadResult result = runAndCheck(setting, seed);
			double leastMs = setting.leastMs() / setting.linkShare();
			assertThat(result.medianMs() - LEARNING_MS).as("median, seed %d", seed)
				.isLessThanOrEqualTo(MAX_MEDIAN_RATIO * leastMs);
			assertThat((double) result.olderMs().size() / hosts).as("older whole, seed %d", seed)
				.isLessThanOrEqualTo(MAX_LOADED_TWICE);
		}
	}

	/** The newer version cannot arrive before the deadline of the older one. */
	@Test(dataProvider = "settings")
	public void bothVersionsArriveBeforeTheirDeadlines(int hosts, SpreadSetting.Disruption disruption) {
		for (int seed = 1; seed <= SEEDS; seed++) {
			runAndCheck(SpreadSetting.uneven(hosts).with(disruption), seed);
		}
	}

	private static SpreadResult runAndCheck(SpreadSetting setting, int seed) {
		boolean deaths = setting.disruption() == SpreadSetting.Disruption.KILLED;
		SpreadResult result = SpreadSimulation.run(setting, seed);
		assertThat(result.olderInTime()).as("older in time, seed %d", seed).isEqualTo(1);
		assertThat(result.newestInTime()).as("newest in time, seed %d", seed).isEqualTo(1);
		assertThat(result.originCopies()).isLessThanOrEqualTo(deaths ? MAX_COPIES_WITH_DEATHS : MAX_COPIES);
		assertThat(result.borderCopies()).isLessThanOrEqualTo(MAX_COPIES);
		assertThat(result.liveDelayMs()).isLessThanOrEqualTo(MAX_LIVE_DELAY_MS);
		return result;
	}

}
