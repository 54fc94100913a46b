package org.wigeontally.routing;

import java.util.Comparator;
import java.util.List;

import org.wigeontally.misc.RendezvousHash;

/**
 * Subsetting: selects the part of a large fleet that one entry sends requests to, which
 * bounds the number of connections and reports per entry. The subset is chosen by
 * rendezvous hashing of the entry host and the backend server host, so it changes little
 * when hosts are added or removed, and different entries get different subsets. The
 * subset is intended to be computed when the view changes, not for each request.
 */
public final class FleetSubset {

	private FleetSubset() {
	}

	/**
	 * Selects the subset.
	 * @param entryHost host of the entry
	 * @param fleet all backend servers of a service
	 * @param size maximum number of backend servers in the subset
	 * @return the subset, or the whole fleet if it is not larger than the subset
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
		return RendezvousHash.of(entryHost + "/" + host);
	}

}
