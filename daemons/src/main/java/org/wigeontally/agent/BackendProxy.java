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
import org.wigeontally.http.ConnectionResets;
import org.wigeontally.http.Headers;
import org.wigeontally.http.Outcome;
import org.wigeontally.http.Refusal;
import org.wigeontally.http.StatusCodes;

/**
 * Forwards requests to a backend server and streams the responses back. The outcome that
 * is reported to the entry depends on whether the backend server may have received the
 * request. A failure to connect is reported as not run, because nothing was sent. Any
 * failure after the request is sent is reported as unknown. If the entry disconnects, the
 * request is cancelled at the backend server. Runs on the event loop of the request.
 */
final class BackendProxy {

	private static final int CONNECT_TIMEOUT_MS = 500;

	private static final long RETRY_AFTER_MS = 200;

	private final Vertx vertx;

	BackendProxy(Vertx vertx) {
		this.vertx = vertx;
	}

	void forward(DispatchRequest request, Buffer body, BackendLink link, HttpServerResponse response,
			BackendLossNotifier lossNotifier) {
		RequestOptions options = link.requestOptions(request.method(), request.path())
			.setConnectTimeout(CONNECT_TIMEOUT_MS);
		link.client().request(options).onComplete((connectResult) -> {
			if (connectResult.failed()) {
				link.admission().requestEnded(request.id(), AdmissionController.CompletionStatus.FAILED);
				Refusal.notRun(ErrorType.NOT_SERVING, RETRY_AFTER_MS, "the backend server takes no connection")
					.send(response);
				return;
			}
			new ForwardedRequest(request, link, response, lossNotifier).send(body, connectResult.result());
		});
	}

	private static void copyHeader(String header, HttpClientResponse from, HttpServerResponse to) {
		String value = from.getHeader(header);
		if (value != null) {
			to.putHeader(header, value);
		}
	}

	/**
	 * One request in progress at the backend server. It releases its admission slot once:
	 * when the backend server has completed or dropped it, or its connection was reset.
	 */
	private final class ForwardedRequest {

		private final DispatchRequest request;

		private final BackendLink link;

		private final HttpServerResponse response;

		private final BackendLossNotifier lossNotifier;

		private boolean reset;

		private Future<Void> written;

		private long timer;

		ForwardedRequest(DispatchRequest request, BackendLink link, HttpServerResponse response,
				BackendLossNotifier lossNotifier) {
			this.request = request;
			this.link = link;
			this.response = response;
			this.lossNotifier = lossNotifier;
		}

		void send(Buffer body, HttpClientRequest backendRequest) {
			if (this.response.closed()) {
				resetBackendRequest(backendRequest);
				requestEnded(AdmissionController.CompletionStatus.CANCELLED);
				return;
			}
			backendRequest.putHeader(Headers.DISPATCH, this.request.id())
				.putHeader(Headers.ORGANISATION, this.request.organisation())
				.putHeader(Headers.PRIORITY, this.request.priority())
				.putHeader("Content-Type", "application/json");
			this.timer = BackendProxy.this.vertx.setTimer(Math.max(1, this.request.remainingMs()),
					(id) -> resetBackendRequest(backendRequest));
			this.response.closeHandler((closed) -> resetBackendRequest(backendRequest));
			this.written = backendRequest.end(body);
			backendRequest.response().onComplete((result) -> {
				if (result.failed()) {
					handleFailure().onComplete((notified) -> Refusal.unknownOutcome("the backend server gave no answer")
						.send(this.response));
					return;
				}
				relay(result.result());
			});
		}

		private void relay(HttpClientResponse backendResponse) {
			if (!StatusCodes.isFinal(backendResponse.statusCode())) {
				resetBackendRequest(backendResponse.request());
				requestEnded(AdmissionController.CompletionStatus.FAILED);
				Refusal.unknownOutcome("the backend server answered with an invalid status").send(this.response);
				return;
			}
			this.link.admission().responseStarted(this.request.id());
			this.response.setStatusCode(backendResponse.statusCode())
				.putHeader(Headers.OUTCOME, Outcome.DONE.headerValue())
				.putHeader(Headers.LOAD, this.link.admission().load().headerValue());
			copyHeader("Content-Type", backendResponse, this.response);
			copyHeader("Content-Length", backendResponse, this.response);
			copyHeader("Model-Version", backendResponse, this.response);
			if (backendResponse.getHeader("Content-Length") == null) {
				this.response.setChunked(true);
			}
			backendResponse.pipe()
				.endOnComplete(false)
				.to(this.response)
				.compose((end) -> ConnectionResets.requireWhole(backendResponse, this.written))
				.compose((whole) -> this.response.end())
				.onComplete((result) -> {
					if (result.succeeded()) {
						requestEnded(AdmissionController.CompletionStatus.COMPLETED);
						return;
					}
					handleFailure().onComplete((notified) -> this.response.reset());
				});
		}

		private Future<Void> handleFailure() {
			if (this.reset) {
				requestEnded(AdmissionController.CompletionStatus.CANCELLED);
				return Future.succeededFuture();
			}
			Future<Void> notified = this.lossNotifier.notifyLoss(this.link);
			requestEnded(AdmissionController.CompletionStatus.FAILED);
			return notified;
		}

		private void resetBackendRequest(HttpClientRequest backendRequest) {
			this.reset = true;
			backendRequest.reset();
		}

		private void requestEnded(AdmissionController.CompletionStatus status) {
			BackendProxy.this.vertx.cancelTimer(this.timer);
			this.lossNotifier.requestEnded(this.request.id());
			this.link.admission().requestEnded(this.request.id(), status);
		}

	}

}
