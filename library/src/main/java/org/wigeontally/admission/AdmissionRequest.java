package org.wigeontally.admission;

/**
 * A request that asks for admission. Immutable.
 *
 * @param id unique id of the dispatch
 * @param organisation calling organisation
 * @param weight weight of the organisation in fair sharing, at least 1
 * @param priority higher ones leave the queue first
 * @param deadlineMs instant on the gate's monotonic clock by which the first part of the
 * answer is needed; {@link #NO_DEADLINE} for none
 * @param cost expected work in tokens, at least 1
 * @param suspect true if a backend server was lost while a request of this content ran
 */
public record AdmissionRequest(String id, String organisation, int weight, int priority, long deadlineMs,
		double costTokens, boolean suspect) {

	/** Deadline of a request that has none. */
	public static final long NO_DEADLINE = Long.MAX_VALUE;

	/**
	 * Creates a request of ordinary priority without deadline.
	 * @param id unique id of the dispatch
	 * @param organisation calling organisation
	 * @param cost expected work in tokens
	 * @return the request
	 */
	public static AdmissionRequest of(String id, String organisation, double cost) {
		return new AdmissionRequest(id, organisation, 1, 0, NO_DEADLINE, cost, false);
	}

	/**
	 * Returns a copy with a deadline.
	 * @param instantMs instant on the gate's monotonic clock
	 * @return the copy
	 */
	public AdmissionRequest withDeadline(long instantMs) {
		return new AdmissionRequest(this.id, this.organisation, this.weight, this.priority, instantMs, this.costTokens,
				this.suspect);
	}

	/**
	 * Returns a copy with a priority.
	 * @param newPriority higher ones leave the queue first
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
