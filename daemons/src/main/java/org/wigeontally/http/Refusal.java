package org.wigeontally.http;

import java.util.concurrent.TimeUnit;

import io.vertx.core.http.HttpServerResponse;
import io.vertx.core.json.JsonObject;

import org.wigeontally.errors.ErrorType;

/**
 * An answer without a result: the error, the outcome of the request, and the delay before
 * a retry.
 *
 * @param error the error
 * @param message the error's message with its placeholders replaced
 * @param outcome whether a backend server may have run the request
 * @param retryAfterMs delay before the caller may retry, in milliseconds; negative for no
 * retry
 */
public record Refusal(ErrorType error, String message, Outcome outcome, long retryAfterMs) {

	/** Value of retryAfterMs for an answer without a retry delay. */
	public static final long NO_RETRY = -1;

	/**
	 * Creates the refusal of a request that no backend server received.
	 * @param error the error
	 * @param retryAfterMs delay before the caller may retry, in milliseconds; negative
	 * for no retry
	 * @param arguments values for the message's placeholders
	 * @return the refusal
	 */
	public static Refusal notRun(ErrorType error, long retryAfterMs, Object... arguments) {
		return new Refusal(error, error.message(arguments), Outcome.NOT_RUN, retryAfterMs);
	}

	/**
	 * Creates the answer to a request that a backend server may have run.
	 * @param detail description of the failure
	 * @return the refusal
	 */
	public static Refusal unknownOutcome(String detail) {
		ErrorType error = ErrorType.OUTCOME_UNKNOWN;
		return new Refusal(error, error.message(detail), Outcome.UNKNOWN, NO_RETRY);
	}

	/**
	 * Sends the refusal as the complete answer. Does nothing if the response has started
	 * or the connection is closed.
	 * @param response the response
	 */
	public void send(HttpServerResponse response) {
		if (response.headWritten() || response.closed()) {
			return;
		}
		response.setStatusCode(httpStatus())
			.putHeader(Headers.OUTCOME, this.outcome.headerValue())
			.putHeader(Headers.ERROR, Integer.toString(this.error.number()))
			.putHeader("Content-Type", "application/json");
		if (this.retryAfterMs >= 0) {
			long seconds = (this.retryAfterMs + TimeUnit.SECONDS.toMillis(1) - 1) / TimeUnit.SECONDS.toMillis(1);
			response.putHeader("Retry-After", Long.toString(seconds))
				.putHeader(Headers.RETRY_AFTER_MS, Long.toString(this.retryAfterMs));
		}
		response.end(toJson().toBuffer());
	}

	private JsonObject toJson() {
		JsonObject body = new JsonObject().put("error", this.error.number())
			.put("message", this.message)
			.put("outcome", this.outcome.headerValue());
		if (this.retryAfterMs >= 0) {
			body.put("retry_after_ms", this.retryAfterMs);
		}
		return body;
	}

	/**
	 * Returns the HTTP status of the error.
	 * @return the status code
	 */
	public int httpStatus() {
		return switch (this.error) {
			case BAD_CREDENTIAL -> 401;
			case NOT_APPROVED -> 403;
			case UNKNOWN_SERVICE -> 404;
			case KEY_REUSED, KEY_EXPIRED -> 409;
			case ANSWER_DROPPED -> 410;
			case BODY_TOO_LARGE -> 413;
			case HARMFUL_REQUEST -> 422;
			case OVER_SHARE -> 429;
			case BAD_REQUEST -> 400;
			case DEADLINE, OUTCOME_UNKNOWN -> 504;
			case BACKEND_FAILED, STREAM_CUT -> 502;
			default -> 503;
		};
	}

}
