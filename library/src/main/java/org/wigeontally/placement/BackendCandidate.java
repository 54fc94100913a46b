package org.wigeontally.placement;

/**
 * A backend server that a request can be placed on.
 *
 * @param id id of the backend server
 * @param distance 0 in the entry's availability zone, 1 in its region, 2 elsewhere
 * @param load estimated number of requests at the backend server
 * @param slowdownFactor 1 at normal speed, more if the backend server is slower
 * @param failureRate rate of recent requests that failed there, from 0 to 1
 * @param blindRequests requests of this entry there if nothing is known of those of the
 * other entries; -1 if something is known
 * @param work what is known of the work of these requests
 */
public record BackendCandidate(String id, int distance, int load, double slowdownFactor, double failureRate,
		int blindRequests, EngineWork work) {

	/**
	 * Creates a candidate of whose load the number of requests is known, but not their
	 * work.
	 * @param id id of the backend server
	 * @param distance 0 in the entry's availability zone, 1 in its region, 2 elsewhere
	 * @param load estimated number of requests at the backend server
	 * @param slowdownFactor 1 at normal speed, more if the backend server is slower
	 * @param failureRate rate of recent requests that failed there, from 0 to 1
	 * @param blindRequests requests of this entry there if nothing is known of those of
	 * the other entries; -1 if something is known
	 */
	public BackendCandidate(String id, int distance, int load, double slowdownFactor, double failureRate,
			int blindRequests) {
		this(id, distance, load, slowdownFactor, failureRate, blindRequests, EngineWork.UNKNOWN);
	}

	/**
	 * Creates a candidate about whose load something is known.
	 * @param id id of the backend server
	 * @param distance 0 in the entry's availability zone, 1 in its region, 2 elsewhere
	 * @param load estimated number of requests at the backend server
	 * @param slowdownFactor 1 at normal speed, more if the backend server is slower
	 * @param failureRate rate of recent requests that failed there, from 0 to 1
	 */
	public BackendCandidate(String id, int distance, int load, double slowdownFactor, double failureRate) {
		this(id, distance, load, slowdownFactor, failureRate, -1);
	}

	/**
	 * Returns this candidate with what is known of its work.
	 * @param known the work
	 * @return the candidate
	 */
	public BackendCandidate withWork(EngineWork known) {
		return new BackendCandidate(this.id, this.distance, this.load, this.slowdownFactor, this.failureRate,
				this.blindRequests, known);
	}

	/**
	 * Returns this candidate with another load.
	 * @param estimate estimated number of requests
	 * @return the candidate
	 */
	public BackendCandidate withLoad(int estimate) {
		return new BackendCandidate(this.id, this.distance, estimate, this.slowdownFactor, this.failureRate,
				this.blindRequests, this.work);
	}

}
