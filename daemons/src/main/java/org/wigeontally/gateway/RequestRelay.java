package org.wigeontally.gateway;

import java.util.Optional;
import java.util.function.DoubleUnaryOperator;

import io.vertx.core.http.HttpServerResponse;

import org.wigeontally.eventlog.LogEvent;
import org.wigeontally.fleet.NotRunPromise;
import org.wigeontally.fleet.RetryAfter;
import org.wigeontally.harmful.Fingerprint;
import org.wigeontally.harmful.Suspicion;
import org.wigeontally.limits.MemoryBudget;
import org.wigeontally.limits.Permit;

/**
 * Forwards one request of a caller to backend servers and returns the response.
 *
 * <p>
 * The request is sent to one backend server at a time, and at most as often as its route
 * allows. Failed connects do not count for that limit but have one of their own. It is
 * retried only if it is certain that it did not run (the connection failed, or the
 * backend server says so), or if its route allows it to run more than once. While its
 * attempts are silent, such a request is sent to one more backend server, and the attempt
 * that makes progress first is kept: a sound backend server can be silent for a moment,
 * and no other one is certain to answer. Which attempt goes on with a stream is decided
 * by {@link CallerEventStream}. A response is forwarded only after it was received
 * completely. Event streams are the exception: each complete event is forwarded when it
 * arrives. If a stream breaks, another backend server resumes it where the route allows
 * that; otherwise the connection to the caller is closed, so that the response cannot be
 * mistaken for a complete one. When the caller disconnects, the connection to the backend
 * server is closed, which cancels the request there. Runs on the event loop.
 */
final class RequestRelay implements AttemptListener, RequestDispatch.Listener {

	/** Minimum remaining time for which another attempt is started. */
	private static final long MIN_REMAINING_MS = 30;

	private static final int SERVER_ERROR = 500;

	/** Refusal reason after a failed attempt, whose cause is logged separately. */
	private static final String ATTEMPT_FAILED = "attempt-failed";

	/** Number of failed connects after which the request fails. */
	private static final int MAX_CONNECT_FAILURES = 4;

	/** Refusal reason of an entry that failed while it handled the request. */
	private static final String ENTRY_FAILED = "failure";

	private final GatewayContext context;

	private final RequestDispatch dispatch;

	private final CallerRequest request;

	private final Fingerprint fingerprint;

	private final long expiresAtMs;

	private final RequestEndLog endLog;

	private final CallerWriter writer;

	private final MemoryBudget.Holder memory;

	private final RunningAttempts attempts = new RunningAttempts();

	private final CallerEventStream stream;

	// Returned if no attempt brings a better one.
	private BufferedResponse failureResponse;

	private int sentAttempts;

	private int connectFailures;

	private boolean mayHaveRun;

	private boolean finished;

	private long timeoutTimer = -1;

	RequestRelay(GatewayContext context, QueuedPlacement placement, PermitClient permits, CallerRequest request) {
		this.context = context;
		this.request = request;
		this.fingerprint = request.fingerprint();
		this.expiresAtMs = request.receivedAtMs() + Math.min(request.callerTimeoutMs(), request.route().timeoutMs());
		this.endLog = new RequestEndLog(context, request);
		this.writer = new CallerWriter(request.http().response(), this::updateMemory);
		this.stream = new CallerEventStream(context, request, this.writer);
		this.memory = context.memory().open(request.memoryOwner(), () -> guard(this::endForMemory));
		this.dispatch = new RequestDispatch(context, placement, permits, request, this);
	}

	void start() {
		guard(this::begin);
	}

	// Whatever fails here must not leave the request without an answer.
	@Override
	public void guard(Runnable step) {
		try {
			step.run();
		}
		catch (RuntimeException | VirtualMachineError ex) {
			entryFailed(ex);
		}
	}

	private void entryFailed(Throwable failure) {
		this.endLog.fault(failure, this.sentAttempts);
		HttpServerResponse response = this.request.http().response();
		clearUnsentHead(response);
		try {
			endUnfinished(LocalResponse.unknownOutcome(ENTRY_FAILED));
		}
		catch (RuntimeException | VirtualMachineError ex) {
			this.endLog.fault(ex, this.sentAttempts);
			clearUnsentHead(response);
		}
		if (!response.ended() && response.headWritten()) {
			this.request.http().connection().close();
		}
		else {
			CallerRequestHandler.writeResponse(response, LocalResponse.unknownOutcome(ENTRY_FAILED), true);
		}
		if (!this.finished) {
			finish(ENTRY_FAILED);
		}
	}

	// The head may have been copied in part.
	private static void clearUnsentHead(HttpServerResponse response) {
		if (!response.headWritten()) {
			response.headers().clear();
		}
	}

	private void begin() {
		this.context.requestStarted(this);
		this.request.http().response().closeHandler((v) -> guard(this::callerDisconnected));
		this.request.http().response().exceptionHandler((failure) -> guard(this::callerDisconnected));
		updateMemory();
		if (this.finished) {
			return;
		}
		Suspicion suspicion = this.context.harmfulRequests().classify(this.fingerprint);
		if (suspicion.level() == Suspicion.Level.HARMFUL) {
			refuse(LocalResponse.notRun("brought-backends-down", suspicion.expiresInMs() / 1000.0));
			return;
		}
		if (this.request.unreadableParts() != null) {
			this.context.log()
				.write(LogEvent.HEADER_UNREADABLE, "id", this.request.attemptId(), "header",
						this.request.unreadableParts());
		}
		this.context.retryBudget(this.request.service()).recordRequest(this.request.receivedAtMs());
		this.context.rankReservations().recordRequest(this.request);
		long remainingMs = this.expiresAtMs - this.context.nowMs();
		this.timeoutTimer = this.context.vertx().setTimer(Math.max(1, remainingMs), (id) -> guard(this::timedOut));
		this.dispatch.dispatch();
	}

	@Override
	public void send(Placement.Placed placed, Permit permit) {
		BackendAttempt attempt = new BackendAttempt(this.context, this.request, this.fingerprint,
				this.dispatch.triedParts(), placed, permit, this);
		this.attempts.add(attempt);
		attempt.start();
	}

	@Override
	public void notDispatched(String reason, DoubleUnaryOperator retryAfterSeconds) {
		endWithoutSuccess(LocalResponse.unknownOutcome(reason), retryAfterSeconds);
	}

	@Override
	public boolean isFinished() {
		return this.finished;
	}

	@Override
	public boolean isSentBefore() {
		return this.sentAttempts > 0 || hasForwardedEvents();
	}

	@Override
	public long remainingMs() {
		return this.expiresAtMs - this.context.nowMs();
	}

	@Override
	public String lastEventId() {
		return this.stream.lastEventId();
	}

	@Override
	public boolean hasForwardedEvents() {
		return this.stream.hasBegun();
	}

	@Override
	public void successorWanted(BackendAttempt attempt) {
		if (this.finished || !this.attempts.isNewest(attempt) || !mayHaveSuccessor()) {
			return;
		}
		Optional<Placement.Placed> placed = this.dispatch.placeSuccessor();
		if (placed.isPresent() && mayRetry()) {
			this.dispatch.sendSuccessor(placed.get());
		}
	}

	private boolean mayHaveSuccessor() {
		if (!this.request.route().isRetryable() || !this.stream.isResumable() || remainingMs() < MIN_REMAINING_MS
				|| this.sentAttempts >= this.request.route().maxAttempts()
				|| this.connectFailures >= MAX_CONNECT_FAILURES) {
			return false;
		}
		return this.dispatch.mayRunTwice();
	}

	@Override
	public void requestSent(BackendAttempt attempt) {
		this.sentAttempts++;
		this.stream.attemptSent(attempt);
	}

	@Override
	public void answerBegun() {
		this.dispatch.answerBegun();
	}

	@Override
	public boolean eventsReceived(BackendAttempt attempt, ResponseReader reader) {
		if (this.finished) {
			return true;
		}
		long writtenBefore = this.stream.writtenEvents();
		boolean follows = this.stream.receive(attempt, reader);
		// Events that a resumed stream repeats do not show that it goes on.
		if (this.stream.writtenEvents() > writtenBefore && this.stream.isSound(attempt)) {
			keepOnly(attempt);
		}
		return follows;
	}

	@Override
	public long heldEventBytes(BackendAttempt attempt) {
		return this.stream.heldBytes(attempt);
	}

	private void keepOnly(BackendAttempt winner) {
		this.attempts.keepOnly(winner).forEach((other) -> {
			other.overtakenBy(winner);
			this.stream.attemptEnded(other);
		});
	}

	@Override
	public void streamEnded(BackendAttempt attempt, ResponseReader reader) {
		if (this.finished) {
			return;
		}
		if (!this.stream.isCompletedBy(attempt, reader)) {
			attemptFailed(attempt, AttemptFailure.FAILED, "stream ended without further events");
			return;
		}
		keepOnly(attempt);
		recordCompletion(reader.status());
		this.stream.end();
	}

	@Override
	public void responseReceived(BackendAttempt attempt, BufferedResponse response) {
		if (this.finished) {
			return;
		}
		if (this.stream.hasEvents()) {
			attemptFailed(attempt, AttemptFailure.FAILED, "no stream, status " + response.status());
			return;
		}
		// A server error is a valid response, but a retry or another attempt may succeed.
		// The first one is kept and returned if none does. So is a refusal while another
		// attempt runs.
		boolean awaitsOther = NotRunPromise.isPromise(response.status()) && !this.attempts.isOnly(attempt);
		if (response.status() >= SERVER_ERROR || awaitsOther) {
			this.failureResponse = (this.failureResponse != null) ? this.failureResponse : response;
			updateMemory();
			attemptFailed(attempt, AttemptFailure.FAILED, "status " + response.status());
			return;
		}
		keepOnly(attempt);
		// Whatever fails from here on, the response is ready.
		this.failureResponse = response;
		this.context.metrics().recordFirstByteTime(this.request.service(), elapsedMs());
		deliver(response);
	}

	@Override
	public void attemptFailed(BackendAttempt failedAttempt, AttemptFailure outcome, String reason) {
		// BackendAttempt has counted complete responses already.
		if (outcome != AttemptFailure.FAILED) {
			this.context.metrics().recordAttempt(this.request.service(), outcome.label());
		}
		this.endLog.attemptFailed(failedAttempt, outcome, reason, this.sentAttempts);
		if (this.finished) {
			return;
		}
		this.mayHaveRun |= outcome == AttemptFailure.MAY_HAVE_RUN || outcome == AttemptFailure.FAILED;
		if (outcome == AttemptFailure.NOT_SENT && failedAttempt.lacksPermit()) {
			this.dispatch.allowAgain(failedAttempt.backendId());
		}
		this.connectFailures += (outcome == AttemptFailure.NOT_SENT) ? 1 : 0;
		this.attempts.remove(failedAttempt);
		this.stream.attemptEnded(failedAttempt);
		if (!this.attempts.isEmpty()) {
			return;
		}
		boolean retryAllowed = this.stream.isResumable() && switch (outcome) {
			case NOT_SENT -> this.connectFailures < MAX_CONNECT_FAILURES;
			case NOT_RUN -> mayRetry();
			// A trial that ends in a loss is not repeated before its result is known.
			case MAY_HAVE_RUN ->
				this.dispatch.triedParts().isEmpty() && this.request.route().isRetryable() && mayRetry();
			case FAILED -> this.request.route().isRetryable() && mayRetry();
		};
		if (!retryAllowed || remainingMs() < MIN_REMAINING_MS) {
			notDispatched(ATTEMPT_FAILED, (remainingMs) -> RetryAfter.seconds(RequestPlacer.NO_BACKEND_RETRY_AFTER_MS,
					remainingMs, this.context.random()));
			return;
		}
		this.dispatch.dispatch();
	}

	private boolean mayRetry() {
		return this.sentAttempts < this.request.route().maxAttempts()
				&& this.context.retryBudget(this.request.service()).tryAcquireRetry(this.context.nowMs());
	}

	// Aborts a stream that has begun, returns a stored server error, or sends a response
	// of the entry itself.
	private void endWithoutSuccess(LocalResponse answerIfRun, DoubleUnaryOperator retryAfterSeconds) {
		if (this.stream.hasBegun()) {
			abortStream(answerIfRun.reason());
			return;
		}
		if (this.failureResponse != null) {
			deliver(this.failureResponse);
			return;
		}
		if (this.mayHaveRun) {
			refuse(answerIfRun);
			return;
		}
		double callerRemainingMs = this.request.receivedAtMs() + this.request.callerTimeoutMs() - this.context.nowMs();
		refuse(LocalResponse.notRun(answerIfRun.reason(), retryAfterSeconds.applyAsDouble(callerRemainingMs)));
	}

	private void timedOut() {
		this.timeoutTimer = -1;
		this.attempts.forEach(BackendAttempt::timeOut);
		endUnfinished(LocalResponse.timeout("timeout"));
	}

	/**
	 * Ends the request with what is known of it, because the process ends.
	 */
	void endForShutdown() {
		guard(() -> endUnfinished(LocalResponse.unknownOutcome(RequestDispatch.LEAVING)));
	}

	// Closing the connection shows the caller that the response is incomplete.
	private void endForMemory() {
		if (this.finished) {
			this.endLog.answerGivenUp(this.writer.pendingBytes());
			this.request.http().connection().close();
			return;
		}
		endUnfinished(LocalResponse.unknownOutcome("no-memory"));
	}

	private void updateMemory() {
		if (this.finished && this.writer.pendingBytes() == 0) {
			this.memory.close();
			return;
		}
		long storedBytes = (this.failureResponse != null) ? this.failureResponse.body().allocatedBytes() : 0;
		this.memory.hold((this.finished ? 0 : this.request.bodyBytes() + storedBytes) + this.writer.pendingBytes());
	}

	private void endUnfinished(LocalResponse answerIfRun) {
		if (this.finished) {
			return;
		}
		this.mayHaveRun |= this.attempts.isAnySent();
		cancelAttempts();
		endWithoutSuccess(answerIfRun, (remainingMs) -> 0);
	}

	private void callerDisconnected() {
		if (this.finished) {
			return;
		}
		this.endLog.callerLeft(this.stream.hasBegun());
		cancelAttempts();
		finish("caller-left");
	}

	private void cancelAttempts() {
		this.attempts.forEach(BackendAttempt::cancel);
		this.attempts.clear();
	}

	private void refuse(LocalResponse response) {
		if (this.finished) {
			return;
		}
		boolean kept = NotRunPromise.isKept(response.status(), this.mayHaveRun, this.request.route().isRetryable());
		LocalResponse refusal = kept ? response : LocalResponse.unknownOutcome(response.reason());
		this.endLog.refused(refusal, this.sentAttempts);
		CallerRequestHandler.writeResponse(this.request.http().response(), refusal, this.context.isDraining());
		this.context.rankReservations().recordRefusal(this.request, refusal.reason());
		finish(refusal.reason());
	}

	private void abortStream(String reason) {
		this.endLog.streamCut(reason, this.stream.lastEventId(), this.stream.times(), this.sentAttempts);
		finish("stream-cut");
		// Closing the connection omits the last chunk of the body, so the caller detects
		// that the response is incomplete.
		this.request.http().connection().close();
	}

	private void deliver(BufferedResponse backendResponse) {
		if (!NotRunPromise.isKept(backendResponse.status(), true, this.request.route().isRetryable())) {
			refuse(LocalResponse.unknownOutcome("unproven-refusal"));
			return;
		}
		this.writer.copyHead(backendResponse.status(), backendResponse.headers(), this.context.isDraining());
		recordCompletion(backendResponse.status());
		this.writer.end(backendResponse.body().toBuffer());
	}

	private void recordCompletion(int status) {
		this.context.metrics().recordAnswerTime(this.request.service(), elapsedMs());
		this.endLog.done(status, this.stream.times(), this.sentAttempts);
		finish((status < 400) ? "done" : "failed-by-backend");
	}

	private long elapsedMs() {
		return this.context.nowMs() - this.request.receivedAtMs();
	}

	private void finish(String outcome) {
		this.finished = true;
		this.context.requestEnded(this);
		this.context.metrics().recordAnswer(this.request.route().name(), this.request.organisationName(), outcome);
		if (this.timeoutTimer >= 0) {
			this.context.vertx().cancelTimer(this.timeoutTimer);
		}
		// The caller's connection may keep its handlers for long.
		this.request.http().response().closeHandler(null).exceptionHandler(null);
		cancelAttempts();
		this.failureResponse = null;
		updateMemory();
		this.dispatch.end();
	}

}
