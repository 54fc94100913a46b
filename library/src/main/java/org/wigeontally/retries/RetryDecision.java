package org.wigeontally.retries;

import org.wigeontally.errors.ErrorType;

/**
 * Decision whether a request is retried, and otherwise which error is returned to the
 * caller. Immutable.
 *
 * @param retry true to retry on another backend server
 * @param error error type that is returned if there is no retry; null otherwise
 * @param notRun true if the response may state that the request did not run
 */
public record RetryDecision(boolean retry, ErrorType error, boolean notRun) {

	static RetryDecision allowRetry() {
		return new RetryDecision(true, null, false);
	}

	static RetryDecision giveUp(ErrorType error, boolean notRun) {
		return new RetryDecision(false, error, notRun);
	}

}
