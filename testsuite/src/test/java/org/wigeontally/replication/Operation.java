package org.wigeontally.replication;

/**
 * One submission of a change as seen by the operator, with the invocation and return
 * times and the reported outcome.
 */
final class Operation {

	static final String ACCEPTED = "accepted";

	static final String REFUSED = "refused";

	final String id;

	final long invokedAtMs;

	long returnedAtMs = Long.MAX_VALUE;

	String outcome = "unknown";

	Operation(String id, long invokedAtMs) {
		this.id = id;
		this.invokedAtMs = invokedAtMs;
	}

	void complete(String newOutcome, long atMs) {
		this.outcome = newOutcome;
		this.returnedAtMs = atMs;
	}

	@Override
	public String toString() {
		return this.id + " [" + this.invokedAtMs + ", " + this.returnedAtMs + "] " + this.outcome;
	}

}
