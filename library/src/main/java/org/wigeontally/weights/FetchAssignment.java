package org.wigeontally.weights;

import java.util.ArrayList;
import java.util.Collections;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.IntStream;

import com.dynatrace.hash4j.hashing.Hasher64;
import com.dynatrace.hash4j.hashing.Hashing;

/**
 * Assigns to each host of a region the chunks that it fetches from outside the region.
 *
 * <p>
 * The chunks of a version are divided into a fixed number of stripes. Each combination of
 * manifest, stripe and region ranks the live hosts of the region by rendezvous hashing.
 * Hosts that rank first for fewer stripes are preferred, so that no host of a small
 * region fetches all chunks. The host of rank 0 fetches the stripe; the others take over
 * in the order of their ranks when the stripe stalls.
 *
 * <p>
 * A region fetches one chunk of a stripe at a time, so the number of streams on the
 * origin's link and on links between regions does not grow with the number of hosts.
 * Hosts with the same view of live hosts agree without communication. With different
 * views, a chunk is at worst fetched twice, which costs bandwidth but does not affect
 * correctness. Immutable.
 */
public final class FetchAssignment {

	/** Number of stripes of a version. */
	public static final int STRIPES = 8;

	private static final Hasher64 HASHER = Hashing.komihash5_0();

	private final Map<String, List<List<String>>> rankedHostsByRegion = new HashMap<>();

	private final String originRegion;

	private final List<String> seedRegions;

	private FetchAssignment(String originRegion, List<String> seedRegions) {
		this.originRegion = originRegion;
		this.seedRegions = seedRegions;
	}

	/**
	 * Ranks the hosts of every region for every stripe; the origin's region fetches all
	 * stripes from the origin.
	 * @param manifest digest of the manifest
	 * @param hosts live hosts, including this host
	 * @param originRegion region of the origin
	 * @return the assignment
	 */
	public static FetchAssignment of(String manifest, Iterable<HostLocation> hosts, String originRegion) {
		return of(manifest, hosts, originRegion, false);
	}

	/**
	 * Ranks the hosts of every region for every stripe.
	 * @param manifest digest of the manifest
	 * @param hosts live hosts, including this host
	 * @param originRegion region of the origin
	 * @param spreadAcrossRegions true if every region fetches a number of stripes from
	 * the origin in proportion to its hosts; the hosts near the origin then need not send
	 * every chunk to every other region
	 * @return the assignment
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
			List<List<String>> stripes = new ArrayList<>(Collections.nCopies(STRIPES, List.of()));
			Map<String, Integer> leadCounts = new HashMap<>();
			for (int stripe : originStripesFirst(region, seedRegions)) {
				List<String> ranked = rankHosts(manifest + "/" + region + "/" + stripe + "/", names, leadCounts);
				leadCounts.merge(ranked.get(0), 1, Integer::sum);
				stripes.set(stripe, ranked);
			}
			assignment.rankedHostsByRegion.put(region, stripes);
		});
		return assignment;
	}

	// Assigns each stripe in turn to the region that then has the most hosts per assigned
	// stripe. The default region wins ties.
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

	// Stripes that a region fetches from the origin are dealt out first, so that no host
	// gets several of them while another gets none.
	private static List<Integer> originStripesFirst(String region, List<String> seedRegions) {
		return IntStream.range(0, STRIPES)
			.boxed()
			.sorted(Comparator.comparing((stripe) -> !seedRegions.get(stripe).equals(region)))
			.toList();
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
	 * Returns the stripe of a chunk.
	 * @param chunk index of the chunk
	 * @return index of the stripe
	 */
	public static int stripe(int chunk) {
		return chunk % STRIPES;
	}

	/**
	 * Returns the region whose hosts fetch the chunks of a stripe from the origin.
	 * @param stripe index of the stripe
	 * @return name of the region
	 */
	public String seedRegion(int stripe) {
		return this.seedRegions.get(stripe);
	}

	/**
	 * Returns the region of the origin, or the first region by name if no host is live
	 * there.
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
	 * Returns the hosts of a region in the order in which they take over a stripe.
	 * @param region the region
	 * @param stripe index of the stripe
	 * @return names of hosts; empty if no host is live there
	 */
	public List<String> rankedHosts(String region, int stripe) {
		List<List<String>> stripes = this.rankedHostsByRegion.get(region);
		return (stripes != null) ? stripes.get(stripe) : List.of();
	}

}
