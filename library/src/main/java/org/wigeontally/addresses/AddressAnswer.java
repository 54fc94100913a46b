package org.wigeontally.addresses;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;

/**
 * The answer to a caller who asks which entries to use. Immutable.
 *
 * <p>
 * Entries that do not take work, and all of zones taken out, are left out. The rest are
 * ordered by a random draw weighted by spare capacity, near ones first: those of the
 * caller's zone, then region, then others. A near entry that is loaded above
 * {@link #SPILLOVER_LOAD} is ranked with the next distance, so that callers of a busy
 * zone spread. The draw differs for each answer: callers do not all use the first entry,
 * and when a zone returns they come over as their answers run out, not together. Keeping
 * times are spread for the same reason.
 *
 * @param entries entries in the order in which to try them
 * @param keepMs time for which the caller may keep the answer
 */
public record AddressAnswer(List<EntryCandidate> entries, long ttlMs) {

	/** Longest time for which an answer may be kept. */
	public static final long MAX_TTL_MS = 5_000;

	private static final long MIN_TTL_MS = 3_000;

	private static final int MAX_ADDRESSES = 8;

	private static final double SPILLOVER_LOAD = 0.8;

	private static final double MIN_WEIGHT = 0.05;

	/**
	 * Makes an answer.
	 * @param entries entries as seen now
	 * @param zonesOut availability zones taken out
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
