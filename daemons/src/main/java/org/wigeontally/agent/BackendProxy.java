package org.wigeontally.agent;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClientRequest;
import io.vertx.core.http.HttpClientResponse;
import io.vertx.core.http.HttpServerResponse;
import io.vertx.core.http.RequestOptions;

import org.wigeontally.admission.AdmissionController;
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

	void forward(DispatchRequest request, Buffer body, BackendLink link, HttpServerResponse response,
			LossNotices notices) {
		RequestOptions options = link.request(request.method(), request.path()).setConnectTimeout(CONNECT_TIMEOUT_MS);
		link.client().request(options).onComplete((connected) -> {
			if (connected.failed()) {
				link.gate().ended(request.id(), AdmissionController.CompletionStatus.FAILED);
				Refusal.notRun(ErrorType.NOT_SERVING, RETRY_SOON_MS, "the backend server takes no connection")
					.send(response);
				return;
			}
			new Run(request, link, response, notices).send(body, connected.result());
		});
	}

	private static void copy(String header, HttpClientResponse from, HttpServerResponse to) {
		String value = from.getHeader(header);
		if (value != null) {
			to.putHeader(header, value);
		}
	}

	/**
	 * One request on its way through the backend server. It ends once at the gate: only
	 * when the backend server has finished or dropped it, or its connection was reset.
	 */
	private final class Run {

		private final DispatchRequest request;

		private final BackendLink link;

		private final HttpServerResponse response;

		private final LossNotices notices;

		private boolean reset;

		private long timer;

		Run(DispatchRequest request, BackendLink link, HttpServerResponse response, LossNotices notices) {
			this.request = request;
			this.link = link;
			this.response = response;
			this.notices = notices;
		}

		void send(Buffer body, HttpClientRequest toBackend) {
			if (this.response.closed()) {
				reset(toBackend);
				ended(AdmissionController.CompletionStatus.CANCELLED);
				return;
			}
			toBackend.putHeader(Headers.DISPATCH, this.request.id())
				.putHeader(Headers.ORGANISATION, this.request.organisation())
				.putHeader(Headers.PRIORITY, this.request.priority())
				.putHeader("Content-Type", "application/json");
			this.timer = BackendProxy.this.vertx.setTimer(Math.max(1, this.request.deadlineMs()),
					(id) -> reset(toBackend));
			this.response.closeHandler((closed) -> reset(toBackend));
			toBackend.send(body).onComplete((answered) -> {
				if (answered.failed()) {
					failed()
						.onComplete((told) -> Refusal.unknown("the backend server gave no answer").send(this.response));
					return;
				}
				relay(answered.result());
			});
		}

		private void relay(HttpClientResponse answer) {
			this.link.gate().answered(this.request.id());
			this.response.setStatusCode(answer.statusCode())
				.putHeader(Headers.OUTCOME, Outcome.DONE.text())
				.putHeader(Headers.LOAD, this.link.gate().load().header());
			copy("Content-Type", answer, this.response);
			copy("Content-Length", answer, this.response);
			copy("Model-Version", answer, this.response);
			if (answer.getHeader("Content-Length") == null) {
				this.response.setChunked(true);
			}
			answer.pipe().endOnFailure(false).to(this.response).onComplete((done) -> {
				if (done.succeeded()) {
					ended(AdmissionController.CompletionStatus.COMPLETED);
					return;
				}
				failed().onComplete((told) -> this.response.reset());
			});
		}

		private Future<Void> failed() {
			if (this.reset) {
				ended(AdmissionController.CompletionStatus.CANCELLED);
				return Future.succeededFuture();
			}
			Future<Void> told = this.notices.backendLost(this.link);
			ended(AdmissionController.CompletionStatus.FAILED);
			return told;
		}

		private void reset(HttpClientRequest toBackend) {
			this.reset = true;
			toBackend.reset();
		}

		private void ended(AdmissionController.CompletionStatus end) {
			BackendProxy.this.vertx.cancelTimer(this.timer);
			this.notices.ended(this.request.id());
			this.link.gate().ended(this.request.id(), end);
		}

	}

}
