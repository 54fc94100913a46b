package org.wigeontally.routing;

import java.util.List;

/**
 * Estimates the load of backend servers from the entry's own requests in flight and from
 * lagging reports.
 *
 * <p>
 * A report counts requests of all entries. The current number of the entry's own requests
 * is known exactly, so only the requests of other entries are taken from the report, and
 * their weight halves with each {@link #REPORT_HALF_LIFE_MS} of report age. The remaining
 * weight is given to the mean load from other entries over all candidates, so that a
 * backend server with a stale report appears neither idle nor busy. If all reports stop,
 * the estimated load from other entries is the same for all backend servers, and only the
 * entry's own requests in flight make a difference.
 */
final class LoadEstimate {

	static final double REPORT_HALF_LIFE_MS = 10_000;

	private final double meanOtherEntriesLoad;

	private LoadEstimate(double meanOtherEntriesLoad) {
		this.meanOtherEntriesLoad = meanOtherEntriesLoad;
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
	 * Estimates the load relative to the limit if one more request were sent.
	 * @param candidate the backend server
	 * @return the relative load; 1 if the backend server would be exactly full
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
