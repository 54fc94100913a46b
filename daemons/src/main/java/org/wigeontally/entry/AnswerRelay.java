package org.wigeontally.entry;

import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClientResponse;
import io.vertx.core.http.HttpServerResponse;
import io.vertx.core.json.JsonObject;

import org.wigeontally.errors.ErrorType;
import org.wigeontally.http.Headers;
import org.wigeontally.http.Outcome;
import org.wigeontally.http.Refusal;
import org.wigeontally.metrics.EntryMetrics;
import org.wigeontally.metrics.TrafficLabels;
import org.wigeontally.misc.Clock;

/**
 * Relays an agent's answer to the caller. An event stream is relayed chunk by chunk and
 * ends with an error event if the connection to the agent breaks. Any other answer is
 * buffered completely first, so that the caller gets either the complete answer or an
 * error.
 */
final class AnswerRelay {

	private static final String EVENT_STREAM = "text/event-stream";

	private final EntryMetrics metrics;

	private final Clock clock;

	AnswerRelay(EntryMetrics metrics, Clock clock) {
		this.metrics = metrics;
		this.clock = clock;
	}

	/**
	 * Relays an answer.
	 * @param answer the agent's answer, with reading paused
	 * @param response the response to the caller
	 * @param labels labels of the metrics
	 * @param arrivedMs when the request arrived, on the monotonic clock
	 * @return succeeds when the complete answer was written
	 */
	Future<Void> relay(HttpClientResponse answer, HttpServerResponse response, TrafficLabels labels, long arrivedMs) {
		this.metrics.recordFirstToken(labels, this.clock.monotonicMs() - arrivedMs);
		String type = answer.getHeader("Content-Type");
		if (type != null && type.startsWith(EVENT_STREAM)) {
			return new StreamRelay(answer, response, labels).start();
		}
		Future<Void> relayed = answer.body().compose((body) -> {
			writeHead(answer, response);
			return response.end(body);
		}).onFailure((failure) -> Refusal.unknownOutcome("the answer broke off").send(response));
		answer.resume();
		return relayed;
	}

	private static void sendStreamError(HttpServerResponse response, Throwable cause) {
		if (response.ended() || response.closed()) {
			return;
		}
		ErrorType error = ErrorType.STREAM_CUT;
		JsonObject data = new JsonObject().put("error", error.number())
			.put("message", error.message(cause.getMessage()))
			.put("outcome", Outcome.UNKNOWN.headerValue());
		response.end("event: error\ndata: " + data.encode() + "\n\n");
	}

	private static void writeHead(HttpClientResponse answer, HttpServerResponse response) {
		response.setStatusCode(answer.statusCode()).putHeader(Headers.OUTCOME, Outcome.DONE.headerValue());
		copyHeader("Content-Type", answer, response);
		copyHeader("Model-Version", answer, response);
	}

	private static void copyHeader(String header, HttpClientResponse from, HttpServerResponse to) {
		String value = from.getHeader(header);
		if (value != null) {
			to.putHeader(header, value);
		}
	}

	/**
	 * Relays one event stream. Reading from the agent pauses while the write queue of the
	 * caller's connection is full.
	 */
	private final class StreamRelay {

		private final HttpClientResponse answer;

		private final HttpServerResponse response;

		private final TrafficLabels labels;

		private final Promise<Void> relayed = Promise.promise();

		private long lastChunkMs = -1;

		StreamRelay(HttpClientResponse answer, HttpServerResponse response, TrafficLabels labels) {
			this.answer = answer;
			this.response = response;
			this.labels = labels;
		}

		Future<Void> start() {
			writeHead(this.answer, this.response);
			this.response.setChunked(true);
			this.answer.handler(this::relayChunk);
			this.answer.endHandler((end) -> this.response.end().onComplete(this.relayed));
			this.answer.exceptionHandler((failure) -> {
				sendStreamError(this.response, failure);
				this.relayed.tryFail(failure);
			});
			this.answer.resume();
			return this.relayed.future();
		}

		private void relayChunk(Buffer chunk) {
			long nowMs = AnswerRelay.this.clock.monotonicMs();
			if (this.lastChunkMs >= 0) {
				AnswerRelay.this.metrics.recordBetweenTokens(this.labels, nowMs - this.lastChunkMs);
			}
			this.lastChunkMs = nowMs;
			this.response.write(chunk);
			if (this.response.writeQueueFull()) {
				this.answer.pause();
				this.response.drainHandler((drained) -> this.answer.resume());
			}
		}

	}

}
