package org.wigeontally.claims;

import java.util.concurrent.CompletionStage;

import org.wigeontally.schema.generated.ClaimReport;
import org.wigeontally.schema.generated.Outcome;

/**
 * Claims idempotency keys for one entry host. Only the entry that is granted the claim of
 * a key may dispatch the request.
 * <p>
 * Methods must be called on the control context, and the returned stages complete on it.
 */
public interface Claims {

	/**
	 * Claims a key, so that its request may be dispatched once.
	 * @param request the request for a claim
	 * @return the decision; the stage never fails
	 */
	CompletionStage<ClaimDecision> claim(ClaimRequest request);

	/**
	 * Releases the claim of another process and claims the key in the same append. The
	 * caller must know that the other claim was not dispatched and never will be.
	 * @param request the request for a claim
	 * @param undispatched the claim to release
	 * @return the decision; the stage never fails
	 */
	CompletionStage<ClaimDecision> releaseAndClaim(ClaimRequest request, ClaimGrant undispatched);

	/**
	 * Marks a granted claim as dispatched if it may still be used. Must be called just
	 * before the first byte of the request is sent.
	 * @param grant the granted claim
	 * @return false if the claim is too old or was abandoned
	 */
	boolean tryStartDispatch(ClaimGrant grant);

	/**
	 * Records the outcome of a dispatched request.
	 * @param grant the claim that the request was dispatched under
	 * @param outcome status and answer of the request
	 */
	void recordOutcome(ClaimGrant grant, Outcome outcome);

	/**
	 * Releases a claim. Allowed only if the claim was not dispatched, or if every agent
	 * that was tried reported that it did not run the request and never will.
	 * @param grant the claim to release
	 */
	void release(ClaimGrant grant);

	/**
	 * Returns the state of a claim, for another entry that asks about it.
	 * @param claimId id of the claim
	 * @return the state of the claim, {@code CLAIM_NOT_KNOWN} if this process did not
	 * make it or no longer remembers it
	 */
	ClaimReport report(String claimId);

}
