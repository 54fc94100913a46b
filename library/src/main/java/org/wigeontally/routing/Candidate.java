package org.wigeontally.routing;

import java.util.Set;

/**
 * A backend server as seen by one entry at the time of a load balancing decision.
 * Immutable.
 *
 * @param host host of the backend server
 * @param region region of the host
 * @param zone availability zone of the host
 * @param service service that the backend server runs
 * @param version version of the loaded model; empty for a plain service
 * @param adapters names of the loaded adapters
 * @param limit maximum number of concurrent requests that the agent admits, as last
 * reported
 * @param reportedInFlight running and queued requests of all entries, as last reported
 * @param ownInFlightAtReport requests of this entry in flight to the backend server when
 * the report was made
 * @param reportAgeMs age of the report; {@link #NO_REPORT} if there is none
 * @param cold true if the backend server is in cold start
 * @param up true if the agent is live and reports that the backend server responds
 * @param ownInFlight requests of this entry currently in flight to the backend server
 */
public record Candidate(String host, String region, String zone, String service, String version, Set<String> adapters,
		int limit, int reportedInFlight, int ownInFlightAtReport, long reportAgeMs, boolean cold, boolean up,
		int ownInFlight) {

	/** Report age of a backend server that has not reported yet. */
	public static final long NO_REPORT = Long.MAX_VALUE;

	/**
	 * Creates a candidate that is up and warm and has neither load nor a report.
	 * @param host host of the backend server
	 * @param region region of the host
	 * @param zone availability zone of the host
	 * @param service service that the backend server runs
	 * @param version version of the loaded model; empty for a plain service
	 * @param limit maximum number of concurrent requests
	 * @return the candidate
	 */
	public static Candidate of(String host, String region, String zone, String service, String version, int limit) {
		return new Candidate(host, region, zone, service, version, Set.of(), limit, 0, 0, NO_REPORT, false, true, 0);
	}

	/**
	 * Returns a copy with the data of the last load report.
	 * @param inFlight running and queued requests of all entries
	 * @param ownInFlight requests of this entry in flight when the report was made
	 * @param ageMs age of the report
	 * @return the copy
	 */
	public Candidate withReport(int inFlight, int ownInFlight, long ageMs) {
		return new Candidate(this.host, this.region, this.zone, this.service, this.version, this.adapters, this.limit,
				inFlight, ownInFlight, ageMs, this.cold, this.up, this.ownInFlight);
	}

	/**
	 * Returns a copy with the current number of this entry's requests in flight.
	 * @param newOwnInFlight requests currently in flight
	 * @return the copy
	 */
	public Candidate withOwnInFlight(int newOwnInFlight) {
		return new Candidate(this.host, this.region, this.zone, this.service, this.version, this.adapters, this.limit,
				this.reportedInFlight, this.ownInFlightAtReport, this.reportAgeMs, this.cold, this.up, newOwnInFlight);
	}

	/**
	 * Returns a copy with the state that the agent reports for the backend server.
	 * @param isUp true if the backend server responds
	 * @param isCold true if it is in cold start
	 * @param newLimit maximum number of concurrent requests
	 * @return the copy
	 */
	public Candidate withState(boolean isUp, boolean isCold, int newLimit) {
		return new Candidate(this.host, this.region, this.zone, this.service, this.version, this.adapters, newLimit,
				this.reportedInFlight, this.ownInFlightAtReport, this.reportAgeMs, isCold, isUp, this.ownInFlight);
	}

	/**
	 * Returns a copy with the loaded adapters.
	 * @param loaded names of the loaded adapters
	 * @return the copy
	 */
	public Candidate withAdapters(Set<String> loaded) {
		return new Candidate(this.host, this.region, this.zone, this.service, this.version, Set.copyOf(loaded),
				this.limit, this.reportedInFlight, this.ownInFlightAtReport, this.reportAgeMs, this.cold, this.up,
				this.ownInFlight);
	}

	/**
	 * Returns whether the backend server can serve a request.
	 * @param request requirements of the request
	 * @return true if the backend server is up, has a limit above 0, matches the service,
	 * version and adapter, and was not tried for this request
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
