package org.wigeontally.claims;

import java.util.concurrent.CompletionStage;

import org.wigeontally.schema.generated.Claim;
import org.wigeontally.schema.generated.ClaimReport;

/**
 * Asks other processes about the state of claims. The returned stages fail if the process
 * cannot be reached.
 */
public interface ClaimInquiries {

	/**
	 * Asks the entry that made a claim.
	 * @param claim the claim
	 * @return the state of the claim at that entry
	 */
	CompletionStage<ClaimReport> askHolder(Claim claim);

	/**
	 * Asks an agent about a claim and fences the claim there: unless the agent already
	 * let the claim through, it rejects it from then on.
	 * @param processId process id of the agent
	 * @param grant the claim to fence
	 * @return the state of the claim at that agent
	 */
	CompletionStage<ClaimReport> fence(String processId, ClaimGrant grant);

}
