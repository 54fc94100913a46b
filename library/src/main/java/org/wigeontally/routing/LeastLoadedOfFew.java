package org.wigeontally.routing;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Random;

/**
 * Takes the least loaded of a few backend servers drawn at random.
 *
 * <p>
 * Load reports lag, so entries that all follow the lowest report send a burst to the same
 * backend server before its next report. Two things keep that from happening: the entry's
 * own requests in flight count at once (see {@link LoadEstimate}), and each choice looks
 * only at a few backend servers that other entries drew differently.
 *
 * <p>
 * A few are drawn from each distance: own zone, own region, other regions. A farther one
 * carries a penalty in units of load, so the own zone is preferred and work spills over
 * only when the near ones are busier by that much. Likewise a probable hit in a prefix
 * cache is worth a discount, but only while the backend server's load is below a bound
 * relative to the mean; a popular prefix therefore spreads to further backend servers
 * rather than piling up on one.
 *
 * <p>
 * Invariants: a choice serves the request (service, version, adapter, up, not tried);
 * with no reports at all the own requests in flight decide. Used by one thread at a time.
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
	 * @param affinity memory of prefix caches, of the same thread
	 * @param random source of the draws
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
