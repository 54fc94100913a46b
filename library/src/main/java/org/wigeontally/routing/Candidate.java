package org.wigeontally.routing;

import java.util.Set;

/**
 * A backend server as one entry sees it at the moment of a choice. Immutable.
 *
 * @param host backend server host
 * @param region region of the host
 * @param zone availability zone of the host
 * @param service service that it runs
 * @param version version of the model loaded; empty for a plain service
 * @param adapters adapters loaded
 * @param limit most requests at once that its agent takes, as last reported
 * @param running requests running and queued there, of all entries, as last reported
 * @param ownAtReport the entry's own requests in flight there when the report was made
 * @param reportAgeMs age of the report; {@link #NO_REPORT} if there is none
 * @param cold true if it is in cold start
 * @param up true if its agent says that it answers and the agent is live
 * @param inFlight the entry's own requests in flight there now
 */
public record Candidate(String host, String region, String zone, String service, String version, Set<String> adapters,
		int limit, int reportedInFlight, int ownInFlightAtReport, long reportAgeMs, boolean cold, boolean up,
		int ownInFlight) {

	/** Age of a report that never came. */
	public static final long NO_REPORT = Long.MAX_VALUE;

	/**
	 * Creates a candidate that is up, warm and without load or report.
	 * @param host backend server host
	 * @param region region of the host
	 * @param zone availability zone of the host
	 * @param service service that it runs
	 * @param version version of the model loaded; empty for a plain service
	 * @param limit most requests at once
	 * @return the candidate
	 */
	public static Candidate of(String host, String region, String zone, String service, String version, int limit) {
		return new Candidate(host, region, zone, service, version, Set.of(), limit, 0, 0, NO_REPORT, false, true, 0);
	}

	/**
	 * Returns a copy with the last load report.
	 * @param reported requests running and queued, of all entries
	 * @param own the entry's own requests in flight when the report was made
	 * @param ageMs age of the report
	 * @return the copy
	 */
	public Candidate withReport(int inFlight, int ownInFlight, long ageMs) {
		return new Candidate(this.host, this.region, this.zone, this.service, this.version, this.adapters, this.limit,
				inFlight, ownInFlight, ageMs, this.cold, this.up, this.ownInFlight);
	}

	/**
	 * Returns a copy with the entry's own requests in flight.
	 * @param own requests in flight now
	 * @return the copy
	 */
	public Candidate withOwnInFlight(int newOwnInFlight) {
		return new Candidate(this.host, this.region, this.zone, this.service, this.version, this.adapters, this.limit,
				this.reportedInFlight, this.ownInFlightAtReport, this.reportAgeMs, this.cold, this.up, newOwnInFlight);
	}

	/**
	 * Returns a copy with what the agent says of the backend server.
	 * @param isUp true if it answers
	 * @param isCold true if it is in cold start
	 * @param newLimit most requests at once
	 * @return the copy
	 */
	public Candidate withState(boolean isUp, boolean isCold, int newLimit) {
		return new Candidate(this.host, this.region, this.zone, this.service, this.version, this.adapters, newLimit,
				this.reportedInFlight, this.ownInFlightAtReport, this.reportAgeMs, isCold, isUp, this.ownInFlight);
	}

	/**
	 * Returns a copy with the adapters loaded.
	 * @param loaded names of adapters
	 * @return the copy
	 */
	public Candidate withAdapters(Set<String> loaded) {
		return new Candidate(this.host, this.region, this.zone, this.service, this.version, Set.copyOf(loaded),
				this.limit, this.reportedInFlight, this.ownInFlightAtReport, this.reportAgeMs, this.cold, this.up,
				this.ownInFlight);
	}

	/**
	 * Tells whether it can serve a request.
	 * @param request what is asked for
	 * @return true if service, version and adapter fit, it is up and was not tried
	 */
	public boolean canServe(RoutingRequest request) {
		if (!this.up || this.limit <= 0 || !this.service.equals(request.service())) {
			return false;
		}
		if (!request.version().isEmpty() && !request.version().equals(this.version)) {
			return false;
		}
		if (!request.adapter().isEmpty() && !this.adapters.contains(request.adapter())) {
			return false;
		}
		return !request.tried().contains(this.host);
	}

}
