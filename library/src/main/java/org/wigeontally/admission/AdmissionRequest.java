package org.wigeontally.admission;

/**
 * A request that asks for admission. Immutable.
 *
 * @param id unique id of the dispatch
 * @param organisation organisation of the caller
 * @param weight weight of the organisation in fair queueing, at least 1
 * @param priority requests of higher priority leave the queue first
 * @param deadlineMs time on the controller's monotonic clock by which the first part of
 * the response is needed; {@link #NO_DEADLINE} for none
 * @param costTokens expected work in tokens, at least 1
 * @param suspect true if a backend server was lost while a request with this content was
 * running
 */
public record AdmissionRequest(String id, String organisation, int weight, int priority, long deadlineMs,
		double costTokens, boolean suspect) {

	/** Deadline of a request without a deadline. */
	public static final long NO_DEADLINE = Long.MAX_VALUE;

	/**
	 * Creates a request with default priority and weight and without a deadline.
	 * @param id unique id of the dispatch
	 * @param organisation organisation of the caller
	 * @param costTokens expected work in tokens
	 * @return the request
	 */
	public static AdmissionRequest of(String id, String organisation, double cost) {
		return new AdmissionRequest(id, organisation, 1, 0, NO_DEADLINE, cost, false);
	}

	/**
	 * Returns a copy with a deadline.
	 * @param instantMs time on the controller's monotonic clock
	 * @return the copy
	 */
	public AdmissionRequest withDeadline(long instantMs) {
		return new AdmissionRequest(this.id, this.organisation, this.weight, this.priority, instantMs, this.costTokens,
				this.suspect);
	}

	/**
	 * Returns a copy with a priority.
	 * @param newPriority requests of higher priority leave the queue first
	 * @return the copy
	 */
	public AdmissionRequest withPriority(int newPriority) {
		return new AdmissionRequest(this.id, this.organisation, this.weight, newPriority, this.deadlineMs,
				this.costTokens, this.suspect);
	}

	/**
	 * Returns a copy that is marked as a suspect.
	 * @return the copy
	 */
	public AdmissionRequest asSuspect() {
		return new AdmissionRequest(this.id, this.organisation, this.weight, this.priority, this.deadlineMs,
				this.costTokens, true);
	}

}
