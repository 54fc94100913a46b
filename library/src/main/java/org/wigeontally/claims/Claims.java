package org.wigeontally.claims;

import java.util.concurrent.CompletionStage;

import org.wigeontally.schema.generated.ClaimReport;
import org.wigeontally.schema.generated.Outcome;

/**
 * Claims of one entry host. Methods are called on the control context, and the stages
 * complete there.
 */
public interface Claims {

	/**
	 * Asks for the right to dispatch a request once.
	 * @param request what is asked
	 * @return the decision; the stage never fails
	 */
	CompletionStage<ClaimDecision> claim(ClaimRequest request);

	/**
	 * Releases another's claim of which it is known that it was not dispatched and never
	 * will be, and claims the key in the same append.
	 * @param request what is asked
	 * @param known the other's claim
	 * @return the decision; the stage never fails
	 */
	CompletionStage<ClaimDecision> releaseAndClaim(ClaimRequest request, ClaimGrant undispatched);

	/**
	 * Tells, just before the first byte leaves, whether a won claim may still be used,
	 * and notes that it is.
	 * @param holding the claim
	 * @return false if the claim is too old or was given up
	 */
	boolean tryStartDispatch(ClaimGrant grant);

	/**
	 * Records what came of a dispatched request.
	 * @param holding the claim
	 * @param outcome status and answer
	 */
	void recordOutcome(ClaimGrant grant, Outcome outcome);

	/**
	 * Gives a claim back. Only for a claim that was not dispatched, or of which each
	 * agent that was tried has said that it did not and never will run it.
	 * @param holding the claim
	 */
	void release(ClaimGrant grant);

	/**
	 * Answers another entry that asks for a claim of this one.
	 * @param claim id of the claim
	 * @return what is known of it
	 */
	ClaimReport report(String claimId);

}
