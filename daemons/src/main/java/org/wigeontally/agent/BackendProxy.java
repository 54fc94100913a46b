package org.wigeontally.agent;

import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClientRequest;
import io.vertx.core.http.HttpClientResponse;
import io.vertx.core.http.HttpServerResponse;
import io.vertx.core.http.RequestOptions;

import org.wigeontally.errors.ErrorType;
import org.wigeontally.http.Headers;
import org.wigeontally.http.Outcome;
import org.wigeontally.http.Refusal;

/**
 * Hands one request to a backend server and its answer back, chunk by chunk. The outcome
 * told to the entry turns on one question: may the backend server have got the request?
 * Until a connection stands, it has not. From the moment the request is sent, any failure
 * leaves the outcome unknown. If the entry goes away, the request is cancelled at the
 * backend server. Runs on the event loop of the request.
 */
final class BackendProxy {

	private static final int CONNECT_TIMEOUT_MS = 500;

	private static final long RETRY_SOON_MS = 200;

	private final Vertx vertx;

	BackendProxy(Vertx vertx) {
		this.vertx = vertx;
	}

	void forward(DispatchRequest request, Buffer body, BackendLink link, HttpServerResponse response) {
		RequestOptions options = link.request(request.method(), request.path()).setConnectTimeout(CONNECT_TIMEOUT_MS);
		link.client().request(options).onComplete((connected) -> {
			if (connected.failed()) {
				Refusal.notRun(ErrorType.NOT_SERVING, RETRY_SOON_MS, "the backend server takes no connection")
					.send(response);
				return;
			}
			send(request, body, connected.result(), response);
		});
	}

	private void send(DispatchRequest request, Buffer body, HttpClientRequest toBackend, HttpServerResponse response) {
		if (response.closed()) {
			toBackend.reset();
			return;
		}
		toBackend.putHeader(Headers.DISPATCH, request.id())
			.putHeader(Headers.ORGANISATION, request.organisation())
			.putHeader(Headers.PRIORITY, request.priority())
			.putHeader("Content-Type", "application/json");
		long timer = this.vertx.setTimer(Math.max(1, request.deadlineMs()), (id) -> toBackend.reset());
		response.closeHandler((closed) -> toBackend.reset());
		toBackend.send(body).onComplete((answered) -> {
			if (answered.failed()) {
				this.vertx.cancelTimer(timer);
				Refusal.unknown("the backend server gave no answer").send(response);
				return;
			}
			relay(answered.result(), response, timer);
		});
	}

	private void relay(HttpClientResponse answer, HttpServerResponse response, long timer) {
		response.setStatusCode(answer.statusCode()).putHeader(Headers.OUTCOME, Outcome.DONE.text());
		copy("Content-Type", answer, response);
		copy("Content-Length", answer, response);
		copy("Model-Version", answer, response);
		if (answer.getHeader("Content-Length") == null) {
			response.setChunked(true);
		}
		answer.pipe().endOnFailure(false).to(response).onComplete((done) -> {
			this.vertx.cancelTimer(timer);
			if (done.failed()) {
				response.reset();
			}
		});
	}

	private static void copy(String header, HttpClientResponse from, HttpServerResponse to) {
		String value = from.getHeader(header);
		if (value != null) {
			to.putHeader(header, value);
		}
	}

}
