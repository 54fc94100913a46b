package org.wigeontally.weights;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

import org.testng.annotations.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests which hosts fetch which stripes from outside their region.
 */
public class FetchAssignmentTests {

	@Test
	public void originRegionSeedsEveryStripe() {
		FetchAssignment assignment = FetchAssignment.of("m", hosts(2, 4, 4), "r1");
		for (int stripe = 0; stripe < FetchAssignment.STRIPES; stripe++) {
			assertThat(assignment.seedRegion(stripe)).isEqualTo("r1");
		}
	}

	/**
	 * Otherwise, four hosts near the origin would have to send two complete copies to
	 * other regions.
	 */
	@Test
	public void seedStripesAreProportionalToHosts() {
		assertThat(seedCounts(FetchAssignment.of("m", hosts(2, 4, 4), "r2", true)))
			.isEqualTo(Map.of("r0", 1, "r1", 3, "r2", 4));
		assertThat(seedCounts(FetchAssignment.of("m", hosts(6, 5, 5), "r1", true)))
			.isEqualTo(Map.of("r0", 3, "r1", 3, "r2", 2));
		assertThat(seedCounts(FetchAssignment.of("m", hosts(9, 1, 1), "r1", true))).containsEntry("r0", 8);
	}

	/**
	 * If one of two hosts led all stripes, it would have to send all chunks to the other.
	 */
	@Test
	public void hostsOfARegionLeadSimilarNumbersOfStripes() {
		FetchAssignment assignment = FetchAssignment.of("m", hosts(2, 4, 3), "r1", true);
		for (int region = 0; region < 3; region++) {
			Map<String, Integer> leadCounts = new HashMap<>();
			for (int stripe = 0; stripe < FetchAssignment.STRIPES; stripe++) {
				leadCounts.merge(assignment.rankedHosts("r" + region, stripe).get(0), 1, Integer::sum);
			}
			int hosts = List.of(2, 4, 3).get(region);
			assertThat(leadCounts).hasSize(hosts);
			assertThat(leadCounts.values())
				.allMatch((stripes) -> stripes <= (FetchAssignment.STRIPES + hosts - 1) / hosts);
		}
	}

	/**
	 * The host that fetched three of three stripes from the origin was the last one of
	 * the whole fleet to send them on.
	 */
	@Test
	public void stripesFromTheOriginAreDealtOutAmongTheHostsOfARegion() {
		for (int manifest = 0; manifest < 50; manifest++) {
			FetchAssignment assignment = FetchAssignment.of("m" + manifest, hosts(3, 3, 3), "r1", true);
			Map<String, Integer> originCounts = new HashMap<>();
			for (int stripe = 0; stripe < FetchAssignment.STRIPES; stripe++) {
				originCounts.merge(assignment.rankedHosts(assignment.seedRegion(stripe), stripe).get(0), 1,
						Integer::sum);
			}
			assertThat(originCounts.values()).containsOnly(1);
		}
	}

	private static Map<String, Integer> seedCounts(FetchAssignment assignment) {
		Map<String, Integer> seedCounts = new HashMap<>();
		for (int stripe = 0; stripe < FetchAssignment.STRIPES; stripe++) {
			seedCounts.merge(assignment.seedRegion(stripe), 1, Integer::sum);
		}
		return seedCounts;
	}

	private static List<HostLocation> hosts(int... counts) {
		List<HostLocation> locations = new ArrayList<>();
		for (int region = 0; region < counts.length; region++) {
			for (int i = 0; i < counts[region]; i++) {
				locations.add(new HostLocation("h" + region + "-" + i, "r" + region, "z" + region));
			}
		}
		return locations;
	}

}
