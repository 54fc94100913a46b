package org.wigeontally.addresses;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;

/**
 * The answer to a caller that asks for the addresses of entries. Immutable.
 *
 * <p>
 * Entries that accept no work and entries in disabled availability zones are left out.
 * The others are sorted by distance: availability zone of the caller, then its region,
 * then the rest. Within a distance the order is a random draw weighted by spare capacity.
 * A near entry with a load above {@link #SPILLOVER_LOAD} is sorted into the next
 * distance, so that callers of an overloaded availability zone spread to others. The draw
 * differs for each answer, so callers do not all use the same entry first, and when an
 * availability zone returns, its callers move back gradually as their answers expire. The
 * times to live are random for the same reason.
 *
 * @param entries entries in the order in which to try them
 * @param ttlMs time for which the caller may cache the answer
 */
public record AddressAnswer(List<EntryCandidate> entries, long ttlMs) {

	/** Maximum time to live of an answer. */
	public static final long MAX_TTL_MS = 5_000;

	private static final long MIN_TTL_MS = 3_000;

	private static final int MAX_ADDRESSES = 8;

	private static final double SPILLOVER_LOAD = 0.8;

	private static final double MIN_WEIGHT = 0.05;

	/**
	 * Creates an answer.
	 * @param entries known entries
	 * @param zonesOut disabled availability zones
	 * @param region region of the caller
	 * @param zone availability zone of the caller
	 * @param random source of the draw
	 * @return the answer
	 */
	public static AddressAnswer of(List<EntryCandidate> entries, Set<String> zonesOut, String region, String zone,
			Random random) {
		List<EntryCandidate> available = new ArrayList<>();
		Map<EntryCandidate, Double> sortKeys = new HashMap<>();
		for (EntryCandidate entry : entries) {
			if (entry.serving() && !zonesOut.contains(entry.zone())) {
				available.add(entry);
				sortKeys.put(entry, distance(entry, region, zone) + weightedDraw(entry, random));
			}
		}
		available.sort(Comparator.comparingDouble(sortKeys::get));
		long keepMs = MIN_TTL_MS + random.nextInt((int) (MAX_TTL_MS - MIN_TTL_MS) + 1);
		return new AddressAnswer(available.stream().limit(MAX_ADDRESSES).toList(), keepMs);
	}

	private static int distance(EntryCandidate entry, String region, String zone) {
		int distance = 2;
		if (entry.zone().equals(zone)) {
			distance = 0;
		}
		else if (entry.region().equals(region)) {
			distance = 1;
		}
		return (entry.load() > SPILLOVER_LOAD) ? distance + 1 : distance;
	}

	private static double weightedDraw(EntryCandidate entry, Random random) {
		double weight = Math.max(MIN_WEIGHT, 1 - entry.load());
		return 1 - Math.pow(random.nextDouble(), 1 / weight);
	}

}
