package org.wigeontally.entry;

import java.util.Collections;
import java.util.List;
import java.util.Set;
import java.util.UUID;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.Executor;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.atomic.AtomicInteger;

import com.google.common.primitives.Bytes;
import com.google.protobuf.ByteString;
import com.google.protobuf.InvalidProtocolBufferException;
import io.vertx.core.Context;
import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.VerticleBase;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClientResponse;
import io.vertx.core.http.HttpServerResponse;
import io.vertx.ext.web.Router;
import io.vertx.ext.web.RoutingContext;

import org.wigeontally.claims.AtMostOnceDispatcher;
import org.wigeontally.claims.ClaimDecision;
import org.wigeontally.claims.ClaimKey;
import org.wigeontally.claims.ClaimRecovery;
import org.wigeontally.claims.ClaimRequest;
import org.wigeontally.claims.ClaimTicket;
import org.wigeontally.claims.LogBackedClaims;
import org.wigeontally.control.ControlView;
import org.wigeontally.errors.ErrorType;
import org.wigeontally.eventlog.EventLog;
import org.wigeontally.eventlog.LogEvent;
import org.wigeontally.harmful.Fingerprint;
import org.wigeontally.http.Headers;
import org.wigeontally.http.Refusal;
import org.wigeontally.log.PlatformLog;
import org.wigeontally.misc.Clock;
import org.wigeontally.schema.generated.ClaimInquiry;
import org.wigeontally.schema.generated.ClaimReport;
import org.wigeontally.schema.generated.ClaimState;
import org.wigeontally.schema.generated.HostState;
import org.wigeontally.schema.generated.Outcome;

/**
 * Runs requests that have an idempotency key and must run at most once. Before a request
 * is dispatched, its key is claimed in the platform's log. The claims are confined to the
 * context of this verticle: a request is handed over to that context, and its answer is
 * sent on the context of the request.
 */
final class AtMostOnceRequests extends VerticleBase {

	private static final int MAX_AGENTS = 3;

	private static final long BUSY_TICK_MS = 5;

	private static final long IDLE_TICK_MS = 100;

	private static final long LOG_READ_WAIT_MS = 100;

	private static final long RETRY_AFTER_MS = 500;

	private final PlatformLog log;

	private final ControlView view;

	private final AgentClient agents;

	private final ClaimInquiryClient inquiries;

	private final Clock clock;

	private final EventLog eventLog;

	private final AtomicInteger inFlight = new AtomicInteger();

	private LogBackedClaims claims;

	private ClaimRecovery recovery;

	private AtMostOnceDispatcher dispatcher;

	private boolean busyTicking;

	private AtMostOnceRequests(PlatformLog log, ControlView view, AgentClient agents, ClaimInquiryClient inquiries,
			Clock clock) {
		this.log = log;
		this.view = view;
		this.agents = agents;
		this.inquiries = inquiries;
		this.clock = clock;
		this.eventLog = EventLog.create(clock, view.self().getHost());
	}

	static Future<AtMostOnceRequests> start(Vertx vertx, PlatformLog log, ControlView view, AgentClient agents,
			ClaimInquiryClient inquiries, Clock clock) {
		AtMostOnceRequests requests = new AtMostOnceRequests(log, view, agents, inquiries, clock);
		return vertx.deployVerticle(requests).map(requests);
	}

	@Override
	public Future<?> start() {
		Executor executor = (action) -> this.context.runOnContext((v) -> action.run());
		this.claims = LogBackedClaims.create(this.log, this.clock, executor, this.view.self().getHost(),
				() -> this.view.self().getIncarnation(), LOG_READ_WAIT_MS);
		this.recovery = ClaimRecovery.create(this.claims, this.inquiries, this.clock, executor);
		this.dispatcher = AtMostOnceDispatcher.create(this.claims, this.recovery, executor);
		this.vertx.setPeriodic(IDLE_TICK_MS, (id) -> tick());
		return Future.succeededFuture();
	}

	private void tick() {
		this.claims.tick();
		this.recovery.tick();
	}

	private void tickWhileBusy() {
		tick();
		this.busyTicking = this.inFlight.get() > 0;
		if (this.busyTicking) {
			this.vertx.setTimer(BUSY_TICK_MS, (id) -> tickWhileBusy());
		}
	}

	void mount(Router router) {
		router.post(ClaimInquiryClient.REPORT_PATH).handler(this::handleReport);
	}

	private void handleReport(RoutingContext routing) {
		Context requestContext = this.vertx.getOrCreateContext();
		routing.request().body().onSuccess((body) -> this.context.runOnContext((v) -> {
			ClaimReport report = this.claims.report(parseClaimId(body));
			requestContext.runOnContext((w) -> routing.response().end(Buffer.buffer(report.toByteArray())));
		}));
	}

	private static String parseClaimId(Buffer body) {
		try {
			return ClaimInquiry.parseFrom(body.getBytes()).getClaim();
		}
		catch (InvalidProtocolBufferException ex) {
			return "";
		}
	}

	void run(CallerRequest request, HttpServerResponse response) {
		String version = Candidates.drawVersion(this.view, request.service(), Set.of(),
				ThreadLocalRandom.current().nextDouble());
		List<HostState> hosts = Candidates.eligibleHosts(this.view, request.service(), version, Set.of());
		Collections.shuffle(hosts, ThreadLocalRandom.current());
		if (hosts.isEmpty()) {
			Refusal.notRun(ErrorType.OVERLOADED, RETRY_AFTER_MS).send(response);
			return;
		}
		List<String> processIds = hosts.stream()
			.limit(MAX_AGENTS)
			.map((state) -> state.getHost().getProcess())
			.toList();
		ClaimKey key = ClaimKey.of(request.organisation().getName(), request.service().getName(),
				request.idempotencyKey());
		byte[] requestLine = (request.method() + " " + request.path() + "\n")
			.getBytes(java.nio.charset.StandardCharsets.UTF_8);
		long contentHash = ClaimKey.contentHash(Bytes.concat(requestLine, request.body().getBytes()));
		ClaimRequest claimRequest = new ClaimRequest(key, contentHash, request.keyTimeMs(), processIds,
				request.deadlineMs());
		Context requestContext = this.vertx.getOrCreateContext();
		this.inFlight.incrementAndGet();
		this.context.runOnContext((v) -> {
			this.dispatcher.run(claimRequest, (ticket) -> send(ticket, request, version, hosts))
				.whenComplete((decision, failure) -> requestContext.runOnContext((w) -> {
					this.inFlight.decrementAndGet();
					sendAnswer(decision, response);
				}));
			if (!this.busyTicking) {
				tickWhileBusy();
			}
		});
	}

	private CompletionStage<ClaimReport> send(ClaimTicket ticket, CallerRequest request, String version,
			List<HostState> hosts) {
		Promise<ClaimReport> report = Promise.promise();
		for (HostState host : hosts) {
			if (host.getHost().getProcess().equals(ticket.processId()) && this.view.isServing()) {
				Dispatch dispatch = new Dispatch(UUID.randomUUID().toString(), request, version,
						this.view.configuration().revision(), ticket.headerValue(), fingerprint(request), false,
						this.clock);
				this.agents.send(host.getHost().getAddress(), dispatch).onSuccess((dispatchResult) -> {
					logFailure(dispatchResult, request, host.getHost().getHost());
					completeReport(dispatchResult, report);
				});
				return report.future().toCompletionStage();
			}
		}
		logFailure(new DispatchResult.NotRun(
				Refusal.notRun(ErrorType.NOT_SERVING, RETRY_AFTER_MS, "its configuration is not confirmed"), null),
				request, this.view.self().getHost());
		report.complete(ClaimReport.newBuilder().setState(ClaimState.CLAIM_FENCED).build());
		return report.future().toCompletionStage();
	}

	private void logFailure(DispatchResult dispatchResult, CallerRequest request, String refusedBy) {
		if (dispatchResult instanceof DispatchResult.NotRun notRun) {
			this.eventLog.write(LogEvent.ATTEMPT_FAILED, "key", request.idempotencyKey(), "backend", refusedBy,
					"outcome", notRun.refusal().outcome().headerValue(), "error", notRun.refusal().error().number(),
					"reason", notRun.refusal().message());
		}
		else if (dispatchResult instanceof DispatchResult.Unknown unknown) {
			this.eventLog.write(LogEvent.ATTEMPT_FAILED, "key", request.idempotencyKey(), "backend", refusedBy,
					"outcome", org.wigeontally.http.Outcome.UNKNOWN.headerValue(), "reason", unknown.detail());
		}
	}

	private static Fingerprint fingerprint(CallerRequest request) {
		return Fingerprint.of(request.service().getName(), request.path(), request.body().getBytes());
	}

	private static void completeReport(DispatchResult dispatchResult, Promise<ClaimReport> report) {
		if (dispatchResult instanceof DispatchResult.NotRun) {
			report.complete(ClaimReport.newBuilder().setState(ClaimState.CLAIM_FENCED).build());
			return;
		}
		if (dispatchResult instanceof DispatchResult.Answered answered) {
			HttpClientResponse response = answered.response();
			response.body().map((body) -> doneReport(response, body)).onComplete(report);
			response.resume();
			return;
		}
		report.fail(((DispatchResult.Unknown) dispatchResult).detail());
	}

	private static ClaimReport doneReport(HttpClientResponse response, Buffer body) {
		String type = response.getHeader("Content-Type");
		Outcome outcome = Outcome.newBuilder()
			.setStatus(response.statusCode())
			.setAnswer(ByteString.copyFrom(body.getBytes()))
			.setContentType((type != null) ? type : "")
			.build();
		return ClaimReport.newBuilder().setState(ClaimState.CLAIM_DONE).setOutcome(outcome).build();
	}

	private static void sendAnswer(ClaimDecision decision, HttpServerResponse response) {
		if (decision instanceof ClaimDecision.AlreadyDone done) {
			sendAnswer(done.outcome(), response);
		}
		else if (decision instanceof ClaimDecision.NotRun notRun) {
			Refusal.notRun(ErrorType.CLAIM_UNSETTLED, notRun.retryAfterMs()).send(response);
		}
		else if (decision instanceof ClaimDecision.KeyReused) {
			Refusal.notRun(ErrorType.KEY_REUSED, Refusal.NO_RETRY).send(response);
		}
		else if (decision instanceof ClaimDecision.KeyExpired) {
			Refusal.notRun(ErrorType.KEY_EXPIRED, Refusal.NO_RETRY).send(response);
		}
		else {
			Refusal.unknownOutcome("an agent that may have run it gave no word").send(response);
		}
	}

	private static void sendAnswer(Outcome outcome, HttpServerResponse response) {
		if (response.closed()) {
			return;
		}
		if (outcome.getAnswerDropped()) {
			ErrorType error = ErrorType.ANSWER_DROPPED;
			new Refusal(error, error.message(), org.wigeontally.http.Outcome.DONE, Refusal.NO_RETRY).send(response);
			return;
		}
		response.setStatusCode(outcome.getStatus())
			.putHeader(Headers.OUTCOME, org.wigeontally.http.Outcome.DONE.headerValue())
			.putHeader("Content-Type", outcome.getContentType())
			.end(Buffer.buffer(outcome.getAnswer().toByteArray()));
	}

	int inFlight() {
		return this.inFlight.get();
	}

}
