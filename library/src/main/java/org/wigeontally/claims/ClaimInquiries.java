package org.wigeontally.claims;

import java.util.concurrent.CompletionStage;

import org.wigeontally.schema.generated.Claim;
import org.wigeontally.schema.generated.ClaimReport;

/**
 * Asks other processes about claims. A stage fails if the process cannot be reached.
 */
public interface ClaimInquiries {

	/**
	 * Asks the entry that holds a claim.
	 * @param claim the claim
	 * @return what it knows
	 */
	CompletionStage<ClaimReport> askHolder(Claim claim);

	/**
	 * Asks an agent, and has it refuse the claim from then on unless it let it through.
	 * @param process process id of the agent
	 * @param holding the claim
	 * @return what it knows
	 */
	CompletionStage<ClaimReport> fence(String processId, ClaimGrant grant);

}
