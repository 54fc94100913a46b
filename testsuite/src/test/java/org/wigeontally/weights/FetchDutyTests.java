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
		FetchDuty duty = FetchDuty.of("m", hosts(2, 4, 4), "r1");
		for (int lane = 0; lane < FetchDuty.LANES; lane++) {
			assertThat(duty.entryRegion(lane)).isEqualTo("r1");
		}
	}

	/** Four hosts near the origin would have to send two whole copies over borders. */
	@Test
	public void sharedEntryFollowsTheNumberOfHosts() {
		assertThat(entries(FetchDuty.of("m", hosts(2, 4, 4), "r2", true))).isEqualTo(Map.of("r0", 1, "r1", 1, "r2", 2));
		assertThat(entries(FetchDuty.of("m", hosts(6, 5, 5), "r1", true))).isEqualTo(Map.of("r0", 2, "r1", 1, "r2", 1));
		assertThat(entries(FetchDuty.of("m", hosts(9, 1, 1), "r1", true))).containsEntry("r0", 4);
	}

	private static Map<String, Integer> entries(FetchDuty duty) {
		Map<String, Integer> counted = new HashMap<>();
		for (int lane = 0; lane < FetchDuty.LANES; lane++) {
			counted.merge(duty.entryRegion(lane), 1, Integer::sum);
		}
		return counted;
	}

	private static List<HostPlace> hosts(int... counts) {
		List<HostPlace> places = new ArrayList<>();
		for (int region = 0; region < counts.length; region++) {
			for (int i = 0; i < counts[region]; i++) {
				places.add(new HostPlace("h" + region + "-" + i, "r" + region, "z" + region));
			}
		}
		return places;
	}

}
