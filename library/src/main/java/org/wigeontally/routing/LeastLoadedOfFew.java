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

	private static final int DRAWN_PER_DISTANCE = 3;

	private static final double OTHER_ZONE_PENALTY = 0.025;

	private static final double OTHER_REGION_PENALTY = 0.05;

	private static final double PREFIX_GAIN = 1;

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
		List<Candidate> fitting = new ArrayList<>(candidates.size());
		for (Candidate candidate : candidates) {
			if (candidate.canServe(request)) {
				fitting.add(candidate);
			}
		}
		if (fitting.isEmpty()) {
			return Optional.empty();
		}
		LoadEstimate estimate = LoadEstimate.of(fitting);
		double bound = PREFIX_LOAD_BOUND * mean(fitting, estimate);
		Candidate best = null;
		double lowest = Double.POSITIVE_INFINITY;
		for (Candidate candidate : draw(request, fitting)) {
			double cost = cost(request, candidate, estimate.loadWithOneMore(candidate), bound);
			if (cost < lowest) {
				lowest = cost;
				best = candidate;
			}
		}
		return Optional.of(best);
	}

	private double cost(RoutingRequest request, Candidate candidate, double load, double bound) {
		double cost = load + distancePenalty(candidate);
		if (load > bound) {
			return cost;
		}
		return cost - PREFIX_GAIN * this.affinity.cachedFraction(candidate.host(), request.prefixBlocks());
	}

	private List<Candidate> draw(RoutingRequest request, List<Candidate> fitting) {
		List<Candidate> ownZone = new ArrayList<>();
		List<Candidate> ownRegion = new ArrayList<>();
		List<Candidate> elsewhere = new ArrayList<>();
		List<Candidate> drawn = new ArrayList<>();
		for (Candidate candidate : fitting) {
			if (candidate.zone().equals(this.zone)) {
				ownZone.add(candidate);
			}
			else if (candidate.region().equals(this.region)) {
				ownRegion.add(candidate);
			}
			else {
				elsewhere.add(candidate);
			}
			if (this.affinity.cachedFraction(candidate.host(), request.prefixBlocks()) > 0) {
				drawn.add(candidate);
			}
		}
		drawInto(drawn, ownZone);
		drawInto(drawn, ownRegion);
		drawInto(drawn, elsewhere);
		return drawn;
	}

	private void drawInto(List<Candidate> drawn, List<Candidate> from) {
		int count = Math.min(DRAWN_PER_DISTANCE, from.size());
		for (int i = 0; i < count; i++) {
			int j = i + this.random.nextInt(from.size() - i);
			Candidate candidate = from.get(j);
			from.set(j, from.get(i));
			from.set(i, candidate);
			drawn.add(candidate);
		}
	}

	private double distancePenalty(Candidate candidate) {
		if (candidate.zone().equals(this.zone)) {
			return 0;
		}
		return candidate.region().equals(this.region) ? OTHER_ZONE_PENALTY : OTHER_REGION_PENALTY;
	}

	private static double mean(List<Candidate> fitting, LoadEstimate estimate) {
		double sum = 0;
		for (Candidate candidate : fitting) {
			sum += estimate.loadWithOneMore(candidate);
		}
		return sum / fitting.size();
	}

}
