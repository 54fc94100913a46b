package org.wigeontally.weights;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

import org.testng.annotations.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Who brings which chunks into which region.
 */
public class FetchDutyTests {

	@Test
	public void chunksEnterByTheRegionOfTheOrigin() {
		FetchAssignment duty = FetchAssignment.of("m", hosts(2, 4, 4), "r1");
		for (int lane = 0; lane < FetchAssignment.STRIPES; lane++) {
			assertThat(duty.seedRegion(lane)).isEqualTo("r1");
		}
	}

	/** Four hosts near the origin would have to send two whole copies over borders. */
	@Test
	public void sharedEntryFollowsTheNumberOfHosts() {
		assertThat(entries(FetchAssignment.of("m", hosts(2, 4, 4), "r2", true)))
			.isEqualTo(Map.of("r0", 1, "r1", 3, "r2", 4));
		assertThat(entries(FetchAssignment.of("m", hosts(6, 5, 5), "r1", true)))
			.isEqualTo(Map.of("r0", 3, "r1", 3, "r2", 2));
		assertThat(entries(FetchAssignment.of("m", hosts(9, 1, 1), "r1", true))).containsEntry("r0", 8);
	}

	/** One host of two that led all lanes would have to give the other one everything. */
	@Test
	public void hostsOfARegionLeadAboutAsManyLanes() {
		FetchAssignment duty = FetchAssignment.of("m", hosts(2, 4, 3), "r1", true);
		for (int region = 0; region < 3; region++) {
			Map<String, Integer> led = new HashMap<>();
			for (int lane = 0; lane < FetchAssignment.STRIPES; lane++) {
				led.merge(duty.rankedHosts("r" + region, lane).get(0), 1, Integer::sum);
			}
			int hosts = List.of(2, 4, 3).get(region);
			assertThat(led).hasSize(hosts);
			assertThat(led.values()).allMatch((lanes) -> lanes <= (FetchAssignment.STRIPES + hosts - 1) / hosts);
		}
	}

	private static Map<String, Integer> entries(FetchAssignment duty) {
		Map<String, Integer> counted = new HashMap<>();
		for (int lane = 0; lane < FetchAssignment.STRIPES; lane++) {
			counted.merge(duty.seedRegion(lane), 1, Integer::sum);
		}
		return counted;
	}

	private static List<HostLocation> hosts(int... counts) {
		List<HostLocation> places = new ArrayList<>();
		for (int region = 0; region < counts.length; region++) {
			for (int i = 0; i < counts[region]; i++) {
				places.add(new HostLocation("h" + region + "-" + i, "r" + region, "z" + region));
			}
		}
		return places;
	}

}
