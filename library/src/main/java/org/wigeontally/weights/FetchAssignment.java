package org.wigeontally.weights;

import java.util.ArrayList;
import java.util.Collections;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

import com.dynatrace.hash4j.hashing.Hasher64;
import com.dynatrace.hash4j.hashing.Hashing;

/**
 * Says which host of a region fetches which chunks from outside the region. The chunks of
 * a version are dealt to a fixed number of lanes; each (manifest, lane, region) ranks the
 * live hosts of the region by rendezvous hashing, those that lead fewest lanes before
 * others, so that no host of a small region has to bring in everything. Rank 0 fetches
 * the lane, the others take over in order when it stalls. A lane has one fetch at a time,
 * so the number of streams on the origin's link and on a region border does not grow with
 * the number of hosts. Hosts with the same view agree without a message; with different
 * views a chunk is fetched twice at worst, which costs bandwidth and never correctness.
 * Immutable.
 */
public final class FetchAssignment {

	/** Number of lanes of a version. */
	public static final int STRIPES = 8;

	private static final Hasher64 HASHER = Hashing.komihash5_0();

	private final Map<String, List<List<String>>> rankedHostsByRegion = new HashMap<>();

	private final String originRegion;

	private final List<String> seedRegions;

	private FetchAssignment(String originRegion, List<String> entryRegions) {
		this.originRegion = originRegion;
		this.seedRegions = entryRegions;
	}

	/**
	 * Ranks the hosts.
	 * @param manifest digest of the manifest
	 * @param hosts live hosts, the own one among them
	 * @param originRegion region of the origin
	 * @return the duties
	 */
	public static FetchAssignment of(String manifest, Iterable<HostLocation> hosts, String originRegion) {
		return of(manifest, hosts, originRegion, false);
	}

	/**
	 * Ranks the hosts.
	 * @param manifest digest of the manifest
	 * @param hosts live hosts, the own one among them
	 * @param originRegion region of the origin
	 * @param shared true if all regions fetch from the origin, each the lanes that are
	 * its share of the hosts; the hosts near the origin then need not send every chunk
	 * over every border themselves
	 * @return the duties
	 */
	public static FetchAssignment of(String manifest, Iterable<HostLocation> hosts, String originRegion,
			boolean spreadAcrossRegions) {
		Map<String, List<String>> byRegion = new java.util.TreeMap<>();
		for (HostLocation location : hosts) {
			byRegion.computeIfAbsent(location.region(), (region) -> new ArrayList<>()).add(location.host());
		}
		String defaultSeedRegion = byRegion.containsKey(originRegion) ? originRegion
				: byRegion.keySet().iterator().next();
		List<String> seedRegions = spreadAcrossRegions ? seedRegions(byRegion, defaultSeedRegion)
				: Collections.nCopies(STRIPES, defaultSeedRegion);
		FetchAssignment assignment = new FetchAssignment(defaultSeedRegion, seedRegions);
		byRegion.forEach((region, names) -> {
			List<List<String>> stripes = new ArrayList<>();
			Map<String, Integer> leadCounts = new HashMap<>();
			for (int stripe = 0; stripe < STRIPES; stripe++) {
				List<String> ranked = rankHosts(manifest + "/" + region + "/" + stripe + "/", names, leadCounts);
				leadCounts.merge(ranked.get(0), 1, Integer::sum);
				stripes.add(ranked);
			}
			assignment.rankedHostsByRegion.put(region, stripes);
		});
		return assignment;
	}

	// Deals the lanes to the regions one by one, each to the region that has the most
	// hosts for the lanes that it would then have. The origin's region wins ties.
	private static List<String> seedRegions(Map<String, List<String>> byRegion, String defaultSeedRegion) {
		Map<String, Integer> stripeCounts = new HashMap<>();
		List<String> seedRegions = new ArrayList<>();
		for (int stripe = 0; stripe < STRIPES; stripe++) {
			String best = defaultSeedRegion;
			for (String region : byRegion.keySet()) {
				double hostsPerStripe = (double) byRegion.get(region).size()
						/ (stripeCounts.getOrDefault(region, 0) + 1);
				double bestHostsPerStripe = (double) byRegion.get(best).size()
						/ (stripeCounts.getOrDefault(best, 0) + 1);
				best = (hostsPerStripe > bestHostsPerStripe) ? region : best;
			}
			stripeCounts.merge(best, 1, Integer::sum);
			seedRegions.add(best);
		}
		return List.copyOf(seedRegions);
	}

	private static List<String> rankHosts(String prefix, List<String> names, Map<String, Integer> leadCounts) {
		Map<String, Long> scores = new HashMap<>();
		for (String name : names) {
			scores.put(name, HASHER.hashCharsToLong(prefix + name));
		}
		List<String> ranked = new ArrayList<>(names);
		ranked.sort(Comparator.<String>comparingInt((name) -> leadCounts.getOrDefault(name, 0))
			.thenComparing(scores::get)
			.thenComparing(Comparator.naturalOrder()));
		return ranked;
	}

	/**
	 * Returns the lane of a chunk.
	 * @param chunk index of the chunk
	 * @return number of the lane
	 */
	public static int stripe(int chunk) {
		return chunk % STRIPES;
	}

	/**
	 * Returns the region whose hosts fetch the chunks of a lane from the origin.
	 * @param lane the lane
	 * @return name of the region
	 */
	public String seedRegion(int stripe) {
		return this.seedRegions.get(stripe);
	}

	/**
	 * Returns the region whose hosts fetch from the origin: the origin's own, or the
	 * first one if no host is live there.
	 * @return name of the region
	 */
	public String originRegion() {
		return this.originRegion;
	}

	/**
	 * Returns the regions with live hosts.
	 * @return names of regions
	 */
	public Set<String> regions() {
		return this.rankedHostsByRegion.keySet();
	}

	/**
	 * Returns the hosts of a region in the order in which they take a lane.
	 * @param region the region
	 * @param lane the lane
	 * @return names of hosts; empty if no host is live there
	 */
	public List<String> rankedHosts(String region, int stripe) {
		List<List<String>> stripes = this.rankedHostsByRegion.get(region);
		return (stripes != null) ? stripes.get(stripe) : List.of();
	}

}
