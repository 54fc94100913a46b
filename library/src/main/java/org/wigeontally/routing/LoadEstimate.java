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

	private final double othersMean;

	private LoadEstimate(double othersMean) {
		this.othersMean = othersMean;
	}

	static LoadEstimate of(List<Candidate> candidates) {
		double sum = 0;
		double weights = 0;
		for (Candidate candidate : candidates) {
			double weight = weight(candidate);
			sum += weight * others(candidate) / candidate.limit();
			weights += weight;
		}
		return new LoadEstimate((weights > 0) ? sum / weights : 0);
	}

	/**
	 * Estimates the load relative to the limit that one request more would give.
	 * @param candidate the backend server
	 * @return 1 for a backend server that would be exactly full
	 */
	double loadWithOneMore(Candidate candidate) {
		double weight = weight(candidate);
		double others = weight * others(candidate) + (1 - weight) * this.othersMean * candidate.limit();
		return (candidate.ownInFlight() + others + 1) / candidate.limit();
	}

	private static double weight(Candidate candidate) {
		if (candidate.reportAgeMs() == Candidate.NO_REPORT) {
			return 0;
		}
		return Math.pow(0.5, candidate.reportAgeMs() / REPORT_HALF_LIFE_MS);
	}

	private static int others(Candidate candidate) {
		return Math.max(0, candidate.reportedInFlight() - candidate.ownInFlightAtReport());
	}

}
