package org.wigeontally.routing;

import java.nio.charset.StandardCharsets;
import java.util.Comparator;
import java.util.List;

import com.google.common.hash.Hashing;

/**
 * The part of a large fleet that one entry sends to, so that connections and reports per
 * entry stay bounded. Chosen by rendezvous hashing of entry and backend server host: it
 * changes little when hosts come and go, and different entries get different parts. To be
 * computed when the view changes, not for each request.
 */
public final class FleetSubset {

	private FleetSubset() {
	}

	/**
	 * Chooses the subset.
	 * @param entryHost host of the entry
	 * @param fleet all backend servers of a service
	 * @param size most backend servers in the subset
	 * @return the subset, or the fleet if it is no larger
	 */
	public static List<Candidate> of(String entryHost, List<Candidate> fleet, int size) {
		if (fleet.size() <= size) {
			return fleet;
		}
		return fleet.stream()
			.sorted(Comparator.comparingLong((Candidate candidate) -> rank(entryHost, candidate.host())))
			.limit(size)
			.toList();
	}

	private static long rank(String entryHost, String host) {
		return Hashing.murmur3_128().hashString(entryHost + "/" + host, StandardCharsets.UTF_8).asLong();
	}

}
