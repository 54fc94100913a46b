package org.wigeontally.agent;

import java.util.Optional;

import com.google.protobuf.ByteString;
import com.google.protobuf.InvalidProtocolBufferException;
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
import org.wigeontally.http.Headers;
import org.wigeontally.http.Refusal;
import org.wigeontally.misc.Clock;
import org.wigeontally.schema.generated.ClaimInquiry;
import org.wigeontally.schema.generated.ClaimReport;
import org.wigeontally.schema.generated.ClaimState;
import org.wigeontally.schema.generated.Outcome;

/**
 * Hands a request that must run at most once to a backend server. It passes the
 * {@link DispatchDeduplicator} when the connection to the backend server stands, just
 * before it is sent. It is not cancelled if the entry goes away, because the same request
 * sent again through another entry gets the answer from the gate. Runs on event loops.
 */
final class OnceProxy {

	static final String FENCE_PATH = "/claims/fence";

	private static final int CONNECT_TIMEOUT_MS = 500;

	private static final long RETRY_SOON_MS = 200;

	private static final int GATE_CAPACITY = 50_000;

	private static final int INQUIRY_LIMIT_BYTES = 4096;

	private final Vertx vertx;

	private final DispatchDeduplicator gate;

	OnceProxy(Vertx vertx, String process, Clock clock) {
		this.vertx = vertx;
		this.gate = DispatchDeduplicator.create(process, clock, GATE_CAPACITY);
	}

	void mount(Router router) {
		router.post(FENCE_PATH).handler(this::fence);
	}

	private void fence(RoutingContext context) {
		context.request().body().onSuccess((body) -> {
			try {
				if (body.length() > INQUIRY_LIMIT_BYTES) {
					context.response().setStatusCode(413).end();
					return;
				}
				ClaimReport report = this.gate.fence(ClaimInquiry.parseFrom(body.getBytes()));
				context.response().end(Buffer.buffer(report.toByteArray()));
			}
			catch (InvalidProtocolBufferException ex) {
				context.response().setStatusCode(400).end();
			}
		});
	}

	/**
	 * Keeps a request that was refused from running later, should it arrive again.
	 * @param request the request
	 * @param refusal the refusal
	 * @param response the answer, which says "not run" only if that is so
	 */
	void refused(DispatchRequest request, Refusal refusal, HttpServerResponse response) {
		Optional<ClaimTicket> ticket = ClaimTicket.parse(request.claim());
		if (ticket.isEmpty() || this.gate.fence(inquiry(ticket.get())).getState() == ClaimState.CLAIM_FENCED) {
			refusal.send(response);
			return;
		}
		Refusal.unknown("the claim was dispatched before").send(response);
	}

	void forward(DispatchRequest request, Buffer body, BackendLink link, HttpServerResponse response) {
		Optional<ClaimTicket> ticket = ClaimTicket.parse(request.claim());
		if (ticket.isEmpty()) {
			link.gate().ended(request.id(), AdmissionController.CompletionStatus.CANCELLED);
			Refusal.notRun(ErrorType.BAD_REQUEST, Refusal.NEVER, "claim header").send(response);
			return;
		}
		link.client()
			.request(link.request(request.method(), request.path()).setConnectTimeout(CONNECT_TIMEOUT_MS))
			.onComplete((connected) -> {
				if (connected.failed()) {
					link.gate().ended(request.id(), AdmissionController.CompletionStatus.FAILED);
					answerWith(this.gate.fence(inquiry(ticket.get())), response);
					return;
				}
				send(request, ticket.get(), body, link, connected.result(), response);
			});
	}

	private void send(DispatchRequest request, ClaimTicket ticket, Buffer body, BackendLink link,
			HttpClientRequest toBackend, HttpServerResponse response) {
		if (!this.gate.tryStart(ticket)) {
			link.gate().ended(request.id(), AdmissionController.CompletionStatus.CANCELLED);
			toBackend.reset();
			answerWith(this.gate.fence(inquiry(ticket)), response);
			return;
		}
		toBackend.putHeader(Headers.DISPATCH, request.id())
			.putHeader(Headers.ORGANISATION, request.organisation())
			.putHeader(Headers.PRIORITY, request.priority())
			.putHeader("Content-Type", "application/json");
		long timer = this.vertx.setTimer(Math.max(1, request.deadlineMs()), (id) -> toBackend.reset());
		toBackend.send(body)
			.onSuccess((answer) -> link.gate().answered(request.id()))
			.compose((answer) -> answer.body().map((answered) -> outcome(answer, answered)))
			.onComplete((ended) -> {
				this.vertx.cancelTimer(timer);
				link.gate()
					.ended(request.id(), ended.succeeded() ? AdmissionController.CompletionStatus.COMPLETED
							: AdmissionController.CompletionStatus.FAILED);
				if (ended.failed()) {
					Refusal.unknown("the backend server gave no answer").send(response);
					return;
				}
				this.gate.recordOutcome(ticket.claimId(), ended.result());
				answer(ended.result(), response);
			});
	}

	private static Outcome outcome(HttpClientResponse answer, Buffer body) {
		String type = answer.getHeader("Content-Type");
		return Outcome.newBuilder()
			.setStatus(answer.statusCode())
			.setAnswer(ByteString.copyFrom(body.getBytes()))
			.setContentType((type != null) ? type : "")
			.build();
	}

	private static void answer(Outcome outcome, HttpServerResponse response) {
		if (response.closed()) {
			return;
		}
		response.setStatusCode(outcome.getStatus())
			.putHeader(Headers.OUTCOME, org.wigeontally.http.Outcome.DONE.text())
			.putHeader("Content-Type", outcome.getContentType())
			.end(Buffer.buffer(outcome.getAnswer().toByteArray()));
	}

	private static void answerWith(ClaimReport report, HttpServerResponse response) {
		if (report.getState() == ClaimState.CLAIM_FENCED) {
			Refusal.notRun(ErrorType.CLAIM_UNSETTLED, RETRY_SOON_MS).send(response);
			return;
		}
		Refusal.unknown("the claim was dispatched before").send(response);
	}

	private static ClaimInquiry inquiry(ClaimTicket ticket) {
		return ClaimInquiry.newBuilder()
			.setClaim(ticket.claimId())
			.setProcess(ticket.processId())
			.setTimeMs(ticket.logTimeMs())
			.build();
	}

}
