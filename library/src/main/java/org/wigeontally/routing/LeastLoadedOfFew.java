package org.wigeontally.routing;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Random;

/**
 * Chooses the least loaded of a few randomly sampled backend servers (power of d
 * choices).
 *
 * <p>
 * Load reports lag, so entries that all follow the lowest report send a burst of requests
 * to the same backend server before its next report. Two measures prevent this: the
 * entry's own requests in flight are counted immediately (see {@link LoadEstimate}), and
 * each choice considers only a few sampled backend servers, which differ between entries.
 *
 * <p>
 * Up to {@link #SAMPLES_PER_LOCALITY} backend servers are sampled from each locality: the
 * entry's own availability zone, its region and other regions. A more distant locality
 * has a penalty in units of load, so the own availability zone is preferred and requests
 * spill over only if the load in the own availability zone is higher by at least that
 * amount. Backend servers that probably hold a part of the prompt in their prefix cache
 * are considered in addition to the sample. A probable prefix cache hit reduces the cost,
 * but only while the load of the backend server does not exceed
 * {@link #PREFIX_LOAD_BOUND} times the mean load; requests with a popular prefix
 * therefore spread to further backend servers instead of overloading one.
 *
 * <p>
 * Invariants: the chosen backend server can serve the request (service, version, adapter,
 * up, not tried); without any reports, the entry's own requests in flight determine the
 * load. Not thread-safe.
 */
public final class LeastLoadedOfFew implements BackendChooser {

	private static final int SAMPLES_PER_LOCALITY = 3;

	private static final double OTHER_ZONE_PENALTY = 0.025;

	private static final double OTHER_REGION_PENALTY = 0.05;

	private static final double PREFIX_HIT_DISCOUNT = 1;

	private static final double PREFIX_LOAD_BOUND = 1.25;

	private final String region;

	private final String zone;

	private final PrefixAffinity affinity;

	private final Random random;

	private LeastLoadedOfFew(String region, String zone, PrefixAffinity affinity, Random random) {
		this.region = region;
		this.zone = zone;
		this.affinity = affinity;
		this.random = random;
	}

	/**
	 * Creates a chooser.
	 * @param region region of the entry
	 * @param zone availability zone of the entry
	 * @param affinity prefix cache index of the same thread
	 * @param random source of randomness for sampling
	 * @return the chooser
	 */
	public static LeastLoadedOfFew create(String region, String zone, PrefixAffinity affinity, Random random) {
		return new LeastLoadedOfFew(region, zone, affinity, random);
	}

	@Override
	public Optional<Candidate> choose(RoutingRequest request, List<Candidate> candidates) {
		List<Candidate> eligible = new ArrayList<>(candidates.size());
		for (Candidate candidate : candidates) {
			if (candidate.canServe(request)) {
				eligible.add(candidate);
			}
		}
		if (eligible.isEmpty()) {
			return Optional.empty();
		}
		LoadEstimate estimate = LoadEstimate.of(eligible);
		double loadBound = PREFIX_LOAD_BOUND * meanLoad(eligible, estimate);
		Candidate best = null;
		double lowestCost = Double.POSITIVE_INFINITY;
		for (Candidate candidate : sample(request, eligible)) {
			double cost = cost(request, candidate, estimate.loadWithOneMore(candidate), loadBound);
			if (cost < lowestCost) {
				lowestCost = cost;
				best = candidate;
			}
		}
		return Optional.of(best);
	}

	private double cost(RoutingRequest request, Candidate candidate, double load, double loadBound) {
		double cost = load + localityPenalty(candidate);
		if (load > loadBound) {
			return cost;
		}
		return cost - PREFIX_HIT_DISCOUNT * this.affinity.cachedFraction(candidate.host(), request.prefixBlocks());
	}

	private List<Candidate> sample(RoutingRequest request, List<Candidate> eligible) {
		List<Candidate> ownZone = new ArrayList<>();
		List<Candidate> ownRegion = new ArrayList<>();
		List<Candidate> otherRegions = new ArrayList<>();
		List<Candidate> sampled = new ArrayList<>();
		for (Candidate candidate : eligible) {
			if (candidate.zone().equals(this.zone)) {
				ownZone.add(candidate);
			}
			else if (candidate.region().equals(this.region)) {
				ownRegion.add(candidate);
			}
			else {
				otherRegions.add(candidate);
			}
			if (this.affinity.cachedFraction(candidate.host(), request.prefixBlocks()) > 0) {
				sampled.add(candidate);
			}
		}
		sampleInto(sampled, ownZone);
		sampleInto(sampled, ownRegion);
		sampleInto(sampled, otherRegions);
		return sampled;
	}

	private void sampleInto(List<Candidate> sampled, List<Candidate> candidates) {
		int count = Math.min(SAMPLES_PER_LOCALITY, candidates.size());
		for (int i = 0; i < count; i++) {
			int j = i + this.random.nextInt(candidates.size() - i);
			Candidate candidate = candidates.get(j);
			candidates.set(j, candidates.get(i));
			candidates.set(i, candidate);
			sampled.add(candidate);
		}
	}

	private double localityPenalty(Candidate candidate) {
		if (candidate.zone().equals(this.zone)) {
			return 0;
		}
		return candidate.region().equals(this.region) ? OTHER_ZONE_PENALTY : OTHER_REGION_PENALTY;
	}

	private static double meanLoad(List<Candidate> eligible, LoadEstimate estimate) {
		double sum = 0;
		for (Candidate candidate : eligible) {
			sum += estimate.loadWithOneMore(candidate);
		}
		return sum / eligible.size();
	}

}
