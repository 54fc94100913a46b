package org.wigeontally.claims;

import org.wigeontally.schema.generated.Outcome;

/**
 * Decision of the log on a request for a claim.
 */
public sealed interface ClaimDecision {

	/**
	 * The claim holds the key. The request may be dispatched once, to one of the agents
	 * that the claim names.
	 *
	 * @param grant the granted claim
	 */
	record Granted(ClaimGrant grant) implements ClaimDecision {

	}

	/**
	 * Another claim holds the key and has no recorded outcome.
	 *
	 * @param grant the other claim
	 */
	record HeldByOther(ClaimGrant grant) implements ClaimDecision {

	}

	/**
	 * The request already ran.
	 *
	 * @param outcome recorded outcome of the request
	 */
	record AlreadyDone(Outcome outcome) implements ClaimDecision {

	}

	/**
	 * The key was already used with a different request body or a different time of the
	 * first attempt.
	 */
	record KeyReused() implements ClaimDecision {

	}

	/**
	 * The key is older than the retention time of keys, or its time is too far in the
	 * future.
	 */
	record KeyExpired() implements ClaimDecision {

	}

	/**
	 * The claim was not granted in time. The request was not dispatched for this attempt
	 * and will not be, so the caller can safely send it again.
	 *
	 * @param retryAfterMs delay after which to send again, in milliseconds
	 */
	record NotRun(long retryAfterMs) implements ClaimDecision {

	}

	/**
	 * The request may have run or may still be running; its outcome cannot be determined
	 * now.
	 */
	record OutcomeUnknown() implements ClaimDecision {

	}

}
