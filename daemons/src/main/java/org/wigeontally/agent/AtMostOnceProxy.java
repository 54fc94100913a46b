package org.wigeontally.agent;

import java.util.Optional;

import com.google.protobuf.ByteString;
import com.google.protobuf.InvalidProtocolBufferException;
import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClientRequest;
import io.vertx.core.http.HttpClientResponse;
import io.vertx.core.http.HttpServerResponse;
import io.vertx.ext.web.Router;
import io.vertx.ext.web.RoutingContext;

import org.wigeontally.admission.AdmissionController;
import org.wigeontally.claims.ClaimTicket;
import org.wigeontally.claims.DispatchDeduplicator;
import org.wigeontally.errors.ErrorType;
import org.wigeontally.http.ConnectionResets;
import org.wigeontally.http.Headers;
import org.wigeontally.http.Refusal;
import org.wigeontally.http.StatusCodes;
import org.wigeontally.misc.Clock;
import org.wigeontally.schema.generated.ClaimInquiry;
import org.wigeontally.schema.generated.ClaimReport;
import org.wigeontally.schema.generated.ClaimState;
import org.wigeontally.schema.generated.Outcome;

/**
 * Forwards a request that must run at most once to a backend server. The request is
 * registered with the {@link DispatchDeduplicator} after the connection to the backend
 * server is established, immediately before the request is sent. It is not cancelled if
 * the entry disconnects, because a retry through another entry gets the recorded outcome
 * from the deduplicator. Runs on event loops.
 */
final class AtMostOnceProxy {

	static final String FENCE_PATH = "/claims/fence";

	private static final int CONNECT_TIMEOUT_MS = 500;

	private static final long RETRY_AFTER_MS = 200;

	private static final int MAX_CLAIMS = 50_000;

	private static final int MAX_INQUIRY_BYTES = 4096;

	private final Vertx vertx;

	private final DispatchDeduplicator deduplicator;

	AtMostOnceProxy(Vertx vertx, String processId, Clock clock) {
		this.vertx = vertx;
		this.deduplicator = DispatchDeduplicator.create(processId, clock, MAX_CLAIMS);
	}

	void mount(Router router) {
		router.post(FENCE_PATH).handler(this::handleFence);
	}

	private void handleFence(RoutingContext context) {
		context.request().body().onSuccess((body) -> {
			try {
				if (body.length() > MAX_INQUIRY_BYTES) {
					context.response().setStatusCode(413).end();
					return;
				}
				ClaimReport report = this.deduplicator.fence(ClaimInquiry.parseFrom(body.getBytes()));
				context.response().end(Buffer.buffer(report.toByteArray()));
			}
			catch (InvalidProtocolBufferException ex) {
				context.response().setStatusCode(400).end();
			}
		});
	}

	/**
	 * Fences the claim of a refused request, so that a duplicate that arrives later does
	 * not run, and sends the refusal.
	 * @param request the request
	 * @param refusal the refusal
	 * @param response the response; it reports the outcome as unknown if the claim was
	 * already dispatched
	 */
	void fenceAndRefuse(DispatchRequest request, Refusal refusal, HttpServerResponse response) {
		Optional<ClaimTicket> ticket = ClaimTicket.parse(request.claimHeader());
		if (ticket.isEmpty()
				|| this.deduplicator.fence(toInquiry(ticket.get())).getState() == ClaimState.CLAIM_FENCED) {
			refusal.send(response);
			return;
		}
		Refusal.unknownOutcome("the claim was dispatched before").send(response);
	}

	void forward(DispatchRequest request, Buffer body, BackendLink link, HttpServerResponse response) {
		Optional<ClaimTicket> ticket = ClaimTicket.parse(request.claimHeader());
		if (ticket.isEmpty()) {
			link.admission().requestEnded(request.id(), AdmissionController.CompletionStatus.CANCELLED);
			Refusal.notRun(ErrorType.BAD_REQUEST, Refusal.NO_RETRY, "claim header").send(response);
			return;
		}
		link.client()
			.request(link.requestOptions(request.method(), request.path()).setConnectTimeout(CONNECT_TIMEOUT_MS))
			.onComplete((connectResult) -> {
				if (connectResult.failed()) {
					link.admission().requestEnded(request.id(), AdmissionController.CompletionStatus.FAILED);
					sendClaimState(this.deduplicator.fence(toInquiry(ticket.get())), response);
					return;
				}
				send(request, ticket.get(), body, link, connectResult.result(), response);
			});
	}

	private void send(DispatchRequest request, ClaimTicket ticket, Buffer body, BackendLink link,
			HttpClientRequest backendRequest, HttpServerResponse response) {
		if (!this.deduplicator.tryStart(ticket)) {
			link.admission().requestEnded(request.id(), AdmissionController.CompletionStatus.CANCELLED);
			backendRequest.reset();
			sendClaimState(this.deduplicator.fence(toInquiry(ticket)), response);
			return;
		}
		backendRequest.putHeader(Headers.DISPATCH, request.id())
			.putHeader(Headers.ORGANISATION, request.organisation())
			.putHeader(Headers.PRIORITY, request.priority())
			.putHeader("Content-Type", "application/json");
		long timer = this.vertx.setTimer(Math.max(1, request.remainingMs()), (id) -> backendRequest.reset());
		Future<Void> written = backendRequest.end(body);
		backendRequest.response()
			.onSuccess((backendResponse) -> link.admission().responseStarted(request.id()))
			.compose((backendResponse) -> StatusCodes.isFinal(backendResponse.statusCode())
					? receive(backendResponse, written) : dropInvalid(backendRequest))
			.onComplete((result) -> {
				this.vertx.cancelTimer(timer);
				link.admission()
					.requestEnded(request.id(), result.succeeded() ? AdmissionController.CompletionStatus.COMPLETED
							: AdmissionController.CompletionStatus.FAILED);
				if (result.failed()) {
					Refusal.unknownOutcome("the backend server gave no answer").send(response);
					return;
				}
				this.deduplicator.recordOutcome(ticket.claimId(), result.result());
				sendOutcome(result.result(), response);
			});
	}

	private static Future<Outcome> receive(HttpClientResponse backendResponse, Future<Void> written) {
		return backendResponse.body()
			.compose((body) -> ConnectionResets.requireWhole(backendResponse, written)
				.map((whole) -> toOutcome(backendResponse, body)));
	}

	private static Future<Outcome> dropInvalid(HttpClientRequest backendRequest) {
		backendRequest.reset();
		return Future.failedFuture("the backend server answered with an invalid status");
	}

	private static Outcome toOutcome(HttpClientResponse backendResponse, Buffer body) {
		String type = backendResponse.getHeader("Content-Type");
		return Outcome.newBuilder()
			.setStatus(backendResponse.statusCode())
			.setAnswer(ByteString.copyFrom(body.getBytes()))
			.setContentType((type != null) ? type : "")
			.build();
	}

	private static void sendOutcome(Outcome outcome, HttpServerResponse response) {
		if (response.closed()) {
			return;
		}
		response.setStatusCode(outcome.getStatus())
			.putHeader(Headers.OUTCOME, org.wigeontally.http.Outcome.DONE.headerValue())
			.putHeader("Content-Type", outcome.getContentType())
			.end(Buffer.buffer(outcome.getAnswer().toByteArray()));
	}

	private static void sendClaimState(ClaimReport report, HttpServerResponse response) {
		if (report.getState() == ClaimState.CLAIM_FENCED) {
			Refusal.notRun(ErrorType.CLAIM_UNSETTLED, RETRY_AFTER_MS).send(response);
			return;
		}
		Refusal.unknownOutcome("the claim was dispatched before").send(response);
	}

	private static ClaimInquiry toInquiry(ClaimTicket ticket) {
		return ClaimInquiry.newBuilder()
			.setClaim(ticket.claimId())
			.setProcess(ticket.processId())
			.setTimeMs(ticket.logTimeMs())
			.build();
	}

}
