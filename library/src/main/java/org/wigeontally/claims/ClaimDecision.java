package org.wigeontally.claims;

import org.wigeontally.schema.generated.Outcome;

/**
 * What the log decided on a request for a claim.
 */
public sealed interface ClaimDecision {

	/**
	 * The claim holds the key: the request may be dispatched once, to an agent that the
	 * claim names.
	 *
	 * @param holding the claim
	 */
	record Granted(ClaimGrant grant) implements ClaimDecision {

	}

	/**
	 * Another claim holds the key and no outcome is recorded.
	 *
	 * @param holding the other claim
	 */
	record HeldByOther(ClaimGrant grant) implements ClaimDecision {

	}

	/**
	 * The request ran before.
	 *
	 * @param outcome what came of it
	 */
	record AlreadyDone(Outcome outcome) implements ClaimDecision {

	}

	/**
	 * The key was used for a request with another body or another time of first sending.
	 */
	record KeyReused() implements ClaimDecision {

	}

	/**
	 * The key is older than keys are remembered, or its time lies in the future.
	 */
	record KeyExpired() implements ClaimDecision {

	}

	/**
	 * The claim was not settled in time. Nothing was dispatched for this sending of the
	 * request and nothing will be.
	 *
	 * @param retryAfterMs when to send again, in milliseconds
	 */
	record NotRun(long retryAfterMs) implements ClaimDecision {

	}

	/**
	 * The request may have run or may be running; its outcome cannot be known now.
	 */
	record OutcomeUnknown() implements ClaimDecision {

	}

}
