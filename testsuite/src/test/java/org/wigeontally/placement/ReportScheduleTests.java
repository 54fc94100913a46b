package org.wigeontally.placement;

import java.util.Random;

import org.testng.annotations.Test;

import org.wigeontally.fleet.ReportSchedule;

import static org.assertj.core.api.Assertions.assertThat;

/** Tests how often agents report to entries of other regions. */
public class ReportScheduleTests {

	private static final long SEED = 20_261_204;

	private static final int REPORTS_PER_SECOND_AND_AGENT = 100;

	/** Six entries in three regions, so four of them are remote to each engine. */
	@Test
	public void smallFleetHearsOfRemoteEnginesBeforeTheyFill() {
		long intervalMs = ReportSchedule.remoteIntervalMs(4);
		// An engine of 16 slots completes a request about every 100 ms.
		assertThat(intervalMs).isLessThanOrEqualTo(100);
		assertThat(runOverload(intervalMs).onTimeShare())
			.isGreaterThan(runOverload(ReportSchedule.MAX_REMOTE_INTERVAL_MS).onTimeShare() + 0.05);
	}

	@Test
	public void messageRateIsBoundedInALargeFleet() {
		for (int entries = 1; entries <= 49; entries++) {
			double perSecond = entries * 1_000.0 / ReportSchedule.remoteIntervalMs(entries);
			assertThat(perSecond).as("%s entries", entries)
				.isLessThanOrEqualTo(Math.max(REPORTS_PER_SECOND_AND_AGENT, entries * 2.5));
		}
		assertThat(ReportSchedule.remoteIntervalMs(980)).isLessThanOrEqualTo(BackendLoad.MAX_REPORT_AGE_MS / 2);
	}

	// 1.3 times the capacity of ten engines for ten seconds.
	private static PlacementSimulation.Result runOverload(long reportIntervalMs) {
		EnginePlacement placement = EnginePlacement.of(PlacementSimulation.PROFILE, new Random(SEED));
		PlacementSimulation simulation = new PlacementSimulation(6, 10, SEED, placement::decide)
			.reportEveryMs(reportIntervalMs);
		simulation.addArrivals(0, 10_000, 1.3 * 10 * 1_000 / PlacementSimulation.PROFILE.completionIntervalMs());
		return simulation.run(18_000);
	}

}
