package org.wigeontally.contents;

import java.util.ArrayList;
import java.util.List;

import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

import org.wigeontally.emulator.configuration.SpreadResult;
import org.wigeontally.emulator.configuration.SpreadSetting;
import org.wigeontally.emulator.configuration.SpreadSimulation;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Large configurations on their way to all entries, in virtual time with the decisions of
 * running entries, over links of limited bandwidth.
 */
public class ConfigurationSpreadTests {

	private static final int RECORD_BYTES = 700_000;

	private static final int LARGEST_BYTES = 4_000_000;

	private static final double MAX_LAST_ENTRY_MS = 2_000;

	private static final double MAX_DISTURBED_LAST_ENTRY_MS = 4_000;

	private static final double MAX_BORDER_COPIES = 1.2;

	/** Around a reader that has received a part for nothing. */
	private static final double MAX_DISTURBED_BORDER_COPIES = 2.2;

	private static final double MAX_OTHER_AGE_MS = 1_400;

	private static final long[] SEEDS = { 3, 4 };

	@DataProvider
	public Object[][] fleets() {
		return new Object[][] { { 8, 3 }, { 40, 3 }, { 40, 5 } };
	}

	@Test(dataProvider = "fleets")
	public void largeConfigurationCrossesEachBorderOnceAndReachesAllEntries(int entries, int regions) {
		for (int bytes : new int[] { 10_000, 100_000, RECORD_BYTES }) {
			for (long seed : SEEDS) {
				SpreadResult result = SpreadSimulation.withParts(SpreadSetting.undisturbed(entries, regions, bytes),
						seed);
				assertThat(result.lastEntryMs()).isLessThanOrEqualTo(MAX_LAST_ENTRY_MS);
				assertThat(result.borderCopies()).isLessThanOrEqualTo(MAX_BORDER_COPIES);
				assertThat(result.otherAgeMs()).isLessThanOrEqualTo(MAX_OTHER_AGE_MS);
				assertThat(result.unfinished()).isZero();
				assertThat(result.staleRequests()).isZero();
			}
		}
	}

	/** It takes a border longer than the entries wait for news. */
	@Test(dataProvider = "fleets")
	public void largestConfigurationReachesAllEntries(int entries, int regions) {
		for (long seed : SEEDS) {
			assertThat(SpreadSimulation.withParts(SpreadSetting.undisturbed(entries, regions, LARGEST_BYTES), seed)
				.unfinished()).isZero();
		}
	}

	@DataProvider
	public Object[][] disruptions() {
		List<Object[]> cases = new ArrayList<>();
		for (SpreadSetting.Disruption disruption : SpreadSetting.Disruption.values()) {
			cases.add(new Object[] { disruption });
		}
		return cases.toArray(new Object[0][]);
	}

	@Test(dataProvider = "disruptions")
	public void disruptionsKeepNoEntryFromALargeConfiguration(SpreadSetting.Disruption disruption) {
		for (Object[] fleet : fleets()) {
			SpreadSetting setting = SpreadSetting.undisturbed((int) fleet[0], (int) fleet[1], RECORD_BYTES)
				.with(disruption);
			for (long seed : SEEDS) {
				SpreadResult result = SpreadSimulation.withParts(setting, seed);
				assertThat(result.unfinished()).isZero();
				// A series of ten takes a border longer than that.
				if (disruption != SpreadSetting.Disruption.TEN_IN_A_ROW) {
					assertThat(result.lastEntryMs()).isLessThanOrEqualTo(MAX_DISTURBED_LAST_ENTRY_MS);
					assertThat(result.borderCopies()).isLessThanOrEqualTo(MAX_DISTURBED_BORDER_COPIES);
				}
			}
		}
	}

	/** Whole records, and readers that decide alone: some entries never get it. */
	@Test
	public void wholeRecordsDoNotReachAllEntries() {
		SpreadResult result = SpreadSimulation.withWholeRecords(SpreadSetting.undisturbed(40, 3, LARGEST_BYTES), 1);
		assertThat(result.unfinished()).isPositive();
		assertThat(result.borderCopies()).isGreaterThan(2);
	}

}
