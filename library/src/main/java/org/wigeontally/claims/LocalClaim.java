package org.wigeontally.claims;

import java.util.concurrent.CompletableFuture;

import org.wigeontally.schema.generated.Claim;
import org.wigeontally.schema.generated.ClaimReport;
import org.wigeontally.schema.generated.ClaimState;
import org.wigeontally.schema.generated.Outcome;

/**
 * State of a claim that this process made. A claim that was abandoned is never
 * dispatched, even if the log grants it later. Used only on the control context.
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
	 * Lifecycle of a claim, in order.
	 */
	enum State {

		/** Waiting to be appended. */
		QUEUED,
		/** Part of an append whose effect is not known yet. */
		SENT,
		/** Holds its key; not dispatched yet. */
		GRANTED,
		/** Dispatched; may have reached an agent. */
		DISPATCHED,
		/** The request ended with an outcome. */
		DONE,
		/**
		 * Not granted, not decided in time, or released; never dispatched from now on.
		 */
		ABANDONED

	}

}
