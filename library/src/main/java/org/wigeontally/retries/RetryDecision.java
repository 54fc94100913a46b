package org.wigeontally.retries;

import org.wigeontally.errors.ErrorType;

/**
 * Whether to try again, and if not, what the caller is told. Immutable.
 *
 * @param retry true to try another backend server
 * @param error error to answer with if there is no retry; null otherwise
 * @param notRun true if the answer may say "not run"
 */
public record RetryDecision(boolean retry, ErrorType error, boolean notRun) {

	static RetryDecision allowRetry() {
		return new RetryDecision(true, null, false);
	}

	static RetryDecision giveUp(ErrorType error, boolean notRun) {
		return new RetryDecision(false, error, notRun);
	}

}
