package org.wigeontally.claims;

import java.util.concurrent.CompletableFuture;

import org.wigeontally.schema.generated.Claim;
import org.wigeontally.schema.generated.ClaimReport;
import org.wigeontally.schema.generated.ClaimState;
import org.wigeontally.schema.generated.Outcome;

/**
 * A claim made by this process and what became of it. Once given up it is never
 * dispatched, whatever the log says of it later. Used on the control context.
 */
final class LocalClaim {

	private final ClaimKey key;

	private final Claim claim;

	private final long createdMs;

	private final long decisionDeadlineMs;

	private final CompletableFuture<ClaimDecision> decision = new CompletableFuture<>();

	private State state = State.QUEUED;

	private Outcome outcome;

	LocalClaim(ClaimKey key, Claim claim, long createdMs, long decisionDeadlineMs) {
		this.key = key;
		this.claim = claim;
		this.createdMs = createdMs;
		this.decisionDeadlineMs = decisionDeadlineMs;
	}

	ClaimKey key() {
		return this.key;
	}

	Claim claim() {
		return this.claim;
	}

	String id() {
		return this.claim.getId();
	}

	long createdMs() {
		return this.createdMs;
	}

	long decisionDeadlineMs() {
		return this.decisionDeadlineMs;
	}

	CompletableFuture<ClaimDecision> decision() {
		return this.decision;
	}

	State state() {
		return this.state;
	}

	void state(State newState) {
		this.state = newState;
	}

	boolean isPending() {
		return this.state == State.QUEUED || this.state == State.SENT;
	}

	void complete(Outcome result) {
		this.state = State.DONE;
		this.outcome = result;
	}

	ClaimReport report() {
		ClaimReport.Builder report = ClaimReport.newBuilder().setClaim(id());
		switch (this.state) {
			case ABANDONED -> report.setState(ClaimState.CLAIM_FENCED);
			case DONE -> report.setState(ClaimState.CLAIM_DONE).setOutcome(this.outcome);
			default -> report.setState(ClaimState.CLAIM_RUNNING);
		}
		return report.build();
	}

	/**
	 * Stages of a claim, in order.
	 */
	enum State {

		/** Not yet appended. */
		QUEUED,
		/** In an append; whether it took effect is not known. */
		SENT,
		/** Holds its key; not dispatched yet. */
		GRANTED,
		/** May have reached an agent. */
		DISPATCHED,
		/** Ended with an outcome. */
		DONE,
		/** Lost, released or abandoned: never dispatched from now on. */
		ABANDONED

	}

}
