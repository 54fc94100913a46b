package org.wigeontally.routing;

import java.util.List;

/**
 * Estimates the load of backend servers from the entry's own requests in flight and from
 * reports that lag.
 *
 * <p>
 * A report counts requests of all entries. What is the entry's own among them is known
 * exactly now, so only the others' part is taken from the report, and its weight halves
 * with each {@link #REPORT_HALF_LIFE_MS} of age. What the report no longer tells is
 * filled in with the others' mean over the candidates: a backend server with a stale
 * report looks neither idle nor busy. When all reports stop, the others' part is the same
 * everywhere and the own requests in flight decide alone.
 */
final class LoadEstimate {

	static final double REPORT_HALF_LIFE_MS = 10_000;

	private final double meanOtherEntriesLoad;

	private LoadEstimate(double othersMean) {
		this.meanOtherEntriesLoad = othersMean;
	}

	static LoadEstimate of(List<Candidate> candidates) {
		double sum = 0;
		double totalWeight = 0;
		for (Candidate candidate : candidates) {
			double weight = reportWeight(candidate);
			sum += weight * otherEntriesInFlight(candidate) / candidate.limit();
			totalWeight += weight;
		}
		return new LoadEstimate((totalWeight > 0) ? sum / totalWeight : 0);
	}

	/**
	 * Estimates the load relative to the limit that one request more would give.
	 * @param candidate the backend server
	 * @return 1 for a backend server that would be exactly full
	 */
	double loadWithOneMore(Candidate candidate) {
		double weight = reportWeight(candidate);
		double otherEntries = weight * otherEntriesInFlight(candidate)
				+ (1 - weight) * this.meanOtherEntriesLoad * candidate.limit();
		return (candidate.ownInFlight() + otherEntries + 1) / candidate.limit();
	}

	private static double reportWeight(Candidate candidate) {
		if (candidate.reportAgeMs() == Candidate.NO_REPORT) {
			return 0;
		}
		return Math.pow(0.5, candidate.reportAgeMs() / REPORT_HALF_LIFE_MS);
	}

	private static int otherEntriesInFlight(Candidate candidate) {
		return Math.max(0, candidate.reportedInFlight() - candidate.ownInFlightAtReport());
	}

}
