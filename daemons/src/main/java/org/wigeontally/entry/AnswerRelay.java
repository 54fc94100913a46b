package org.wigeontally.entry;

import io.vertx.core.http.HttpClientResponse;
import io.vertx.core.http.HttpServerResponse;
import io.vertx.core.json.JsonObject;

import org.wigeontally.errors.ErrorType;
import org.wigeontally.http.Headers;
import org.wigeontally.http.Outcome;
import org.wigeontally.http.Refusal;

/**
 * Hands an agent's answer to the caller. A stream is passed on as it comes and ends with
 * an error event if it breaks. Any other answer is read whole first, so that a caller
 * gets all of it or a refusal.
 */
final class AnswerRelay {

	private static final String EVENT_STREAM = "text/event-stream";

	void relay(HttpClientResponse answer, HttpServerResponse response) {
		String type = answer.getHeader("Content-Type");
		if (type != null && type.startsWith(EVENT_STREAM)) {
			stream(answer, response);
			return;
		}
		answer.body().onComplete((body) -> {
			if (body.failed()) {
				Refusal.unknown("the answer broke off").send(response);
				return;
			}
			head(answer, response);
			response.end(body.result());
		});
		answer.resume();
	}

	private static void stream(HttpClientResponse answer, HttpServerResponse response) {
		head(answer, response);
		response.setChunked(true);
		answer.pipe().endOnFailure(false).to(response).onFailure((cause) -> cut(response, cause));
	}

	private static void cut(HttpServerResponse response, Throwable cause) {
		if (response.ended() || response.closed()) {
			return;
		}
		ErrorType error = ErrorType.STREAM_CUT;
		JsonObject data = new JsonObject().put("error", error.number())
			.put("message", error.message(cause.getMessage()))
			.put("outcome", Outcome.UNKNOWN.text());
		response.end("event: error\ndata: " + data.encode() + "\n\n");
	}

	private static void head(HttpClientResponse answer, HttpServerResponse response) {
		response.setStatusCode(answer.statusCode()).putHeader(Headers.OUTCOME, Outcome.DONE.text());
		copy("Content-Type", answer, response);
		copy("Model-Version", answer, response);
	}

	private static void copy(String header, HttpClientResponse from, HttpServerResponse to) {
		String value = from.getHeader(header);
		if (value != null) {
			to.putHeader(header, value);
		}
	}

}
