package org.wigeontally.gateway;

import java.util.Set;

import io.netty.handler.codec.http.HttpHeaders;
import io.vertx.core.Future;

import org.wigeontally.eventlog.LogEvent;
import org.wigeontally.fleet.RequestKind;
import org.wigeontally.fleet.SilencePolicy;
import org.wigeontally.harmful.Fingerprint;
import org.wigeontally.harmful.PromptPart;
import org.wigeontally.harmful.SuspectRequest;
import org.wigeontally.limits.MemoryBudget;
import org.wigeontally.limits.Permit;
import org.wigeontally.platform.wire.BackendNotice;

/**
 * One attempt to run a request on one backend server. It ends exactly once: with a
 * response, by {@link #cancel()}, or with an {@link AttemptFailure} that tells whether
 * the request may have run. Runs on the event loop.
 */
final class BackendAttempt implements BackendResponseHandler {

	private static final long PROGRESS_CHECK_INTERVAL_MS = 200;

	/**
	 * Time before a withdrawal from which a successor is tried, so that the request has
	 * begun elsewhere when it is withdrawn.
	 */
	private static final long WITHDRAWAL_NOTICE_MS = 500;

	/**
	 * Fraction of the keep-alive time after which an idle connection is no longer used
	 * for a request that must not be retried. If the backend server closes the connection
	 * while the request is being sent, it is unknown whether the request ran.
	 */
	private static final double AT_MOST_ONCE_IDLE_FRACTION = 0.4;

	/** Fraction of the keep-alive time that applies to all other requests. */
	private static final double MAX_IDLE_FRACTION = 0.95;

	/**
	 * Events after which an answer has begun without a crash. A backend server that
	 * crashes as it begins may still send the first one.
	 */
	private static final int MIN_SOUND_EVENTS = 2;

	private static final int SERVER_ERROR = 500;

	/** Status of a refusal because the backend server is full. */
	private static final int UNAVAILABLE = 503;

	private final GatewayContext context;

	private final CallerRequest request;

	private final Fingerprint fingerprint;

	private final Set<PromptPart> triedParts;

	private final Backend backend;

	private final Permit permit;

	private final int enginePriority;

	private final VersionRequirement version;

	private final AttemptWork work;

	private final AttemptListener listener;

	private final MemoryBudget.Holder memory;

	private final long startMs;

	private long sentAtMs;

	private long lastReceivedMs;

	private BackendConnection connection;

	private boolean sent;

	private String beganAfter;

	private boolean ended;

	private boolean answerBegun;

	private long progressTimer = -1;

	private boolean silenceLogged;

	private ResponseReader reader;

	/**
	 * Creates an attempt.
	 * @param context state that all requests of the entry share
	 * @param request the request
	 * @param fingerprint fingerprint of the request's content
	 * @param triedParts parts of its prompt for which it is on trial
	 * @param placed where it is sent
	 * @param permit permit for it, or null if the backend server had no limit
	 * @param listener receives the result
	 */
	BackendAttempt(GatewayContext context, CallerRequest request, Fingerprint fingerprint, Set<PromptPart> triedParts,
			Placement.Placed placed, Permit permit, AttemptListener listener) {
		this.context = context;
		this.request = request;
		this.fingerprint = fingerprint;
		this.triedParts = triedParts;
		this.backend = placed.backend();
		this.permit = permit;
		this.enginePriority = placed.enginePriority();
		this.version = placed.version();
		this.work = new AttemptWork(context, request, placed);
		this.listener = listener;
		this.memory = context.memory()
			.open(request.memoryOwner(), () -> listener.guard(() -> abandon("no memory left for the response")));
		this.startMs = context.nowMs();
		this.lastReceivedMs = this.startMs;
	}

	void start() {
		this.work.begin();
		this.backend.warmupLimiter().reserve();
		double idleFraction = (this.request.route().kind() == RequestKind.AT_MOST_ONCE) ? AT_MOST_ONCE_IDLE_FRACTION
				: MAX_IDLE_FRACTION;
		BackendConnection idleConnection = this.backend.pool().takeIdle(idleFraction);
		Future<BackendConnection> connected = (idleConnection != null) ? Future.succeededFuture(idleConnection)
				: this.backend.pool().connect();
		connected.onComplete((result) -> this.listener.guard(() -> {
			if (result.failed()) {
				connectFailed(result.cause());
			}
			else if (this.ended) {
				this.backend.pool().release(result.result());
			}
			else {
				send(result.result());
			}
		}));
	}

	String backendId() {
		return this.backend.record().id();
	}

	long elapsedMs() {
		return this.context.nowMs() - this.startMs;
	}

	Fingerprint fingerprint() {
		return this.fingerprint;
	}

	/**
	 * Describes the attempt for the log of a crash.
	 * @return id of the request, ids of the parts of its prompt and received events
	 */
	String describe() {
		int events = (this.reader != null) ? this.reader.takenEvents() : 0;
		return this.request.attemptId() + "/" + HarmfulPartGuard.ids(this.request.sharedParts()) + "/" + events;
	}

	/**
	 * Returns whether the backend server has begun its answer without a crash. A request
	 * can crash it until then.
	 * @return true if enough of the answer has arrived
	 */
	boolean hasBegunAnswer() {
		return this.answerBegun;
	}

	SuspectRequest toSuspect() {
		return new SuspectRequest(this.request.sharedParts(), this.triedParts);
	}

	/**
	 * Ends a trial whose result is not known.
	 */
	void endTrial() {
		if (this.sent) {
			this.context.harmfulParts().trialEnded(this.triedParts);
		}
	}

	boolean isSent() {
		return this.sent;
	}

	/**
	 * Returns the event after which the backend server was told to go on.
	 * @return id of the event, or null if it began at the start of the stream
	 */
	String beganAfter() {
		return this.beganAfter;
	}

	long sentAtMs() {
		return this.sentAtMs;
	}

	ResponseReader reader() {
		return this.reader;
	}

	/**
	 * Returns for how long the backend server has sent nothing on this request.
	 * @return milliseconds
	 */
	long silentMs() {
		return this.context.nowMs() - this.lastReceivedMs;
	}

	/**
	 * Cancels the attempt. Closing the connection makes the backend server cancel the
	 * request.
	 */
	void cancel() {
		if (this.ended) {
			return;
		}
		markEnded();
		endTrial();
		if (this.connection != null) {
			this.connection.close();
		}
	}

	/**
	 * Ends the attempt because another one of the same request has made progress.
	 * @param other the other attempt
	 */
	void overtakenBy(BackendAttempt other) {
		this.context.log()
			.write(LogEvent.ATTEMPT_OVERTAKEN, "id", this.request.attemptId(), "backend", backendId(), "by",
					other.backendId(), "sent", this.sent, "silent-ms", silentMs());
		this.context.metrics().recordAttempt(this.request.service(), "overtaken");
		recordSilence();
		cancel();
	}

	/**
	 * Ends the attempt because its time is over.
	 */
	void timeOut() {
		suspectIdleConnections();
		recordSilence();
		cancel();
	}

	// A silence that has cost the request counts as a failure.
	private void recordSilence() {
		if (!this.ended && this.sent && isSilent()) {
			suspectIdleConnections();
			this.backend.health().recordFailure(this.context.nowMs());
		}
	}

	private void suspectIdleConnections() {
		if (!this.ended && this.sent && this.reader == null) {
			this.backend.pool().closeIdleBefore(this.sentAtMs);
		}
	}

	private void connectFailed(Throwable cause) {
		if (this.ended) {
			return;
		}
		markEnded();
		this.backend.health().recordConnectFailure(this.context.nowMs());
		this.listener.attemptFailed(this, AttemptFailure.NOT_SENT, "connect: " + cause.getMessage());
	}

	private void send(BackendConnection backendConnection) {
		this.connection = backendConnection;
		long nowMs = this.context.nowMs();
		String obstacle = findObstacle(nowMs);
		if (obstacle != null) {
			this.backend.pool().release(backendConnection);
			markEnded();
			this.listener.attemptFailed(this, AttemptFailure.NOT_SENT, obstacle);
			return;
		}
		this.sent = true;
		this.sentAtMs = nowMs;
		this.lastReceivedMs = nowMs;
		this.listener.requestSent(this);
		this.backend.warmupLimiter().recordSent(nowMs);
		this.backend.attemptStarted(this);
		this.context.harmfulParts().trialStarted(this.triedParts);
		String lastEventId = this.listener.lastEventId();
		this.beganAfter = lastEventId;
		long remainingMs = this.listener.remainingMs();
		this.work.sent(remainingMs, lastEventId, this.listener.hasForwardedEvents());
		BackendRequest backendRequest = this.request.toBackendRequest(backendId(), remainingMs, this.enginePriority,
				this.version.requiredVersion(nowMs), lastEventId);
		backendConnection.send(backendRequest, this, () -> this.backend.pool().release(backendConnection));
		if (this.request.route().isRetryable() || this.version != VersionRequirement.NONE) {
			this.progressTimer = this.context.vertx()
				.setPeriodic(PROGRESS_CHECK_INTERVAL_MS, (id) -> this.listener.guard(this::checkProgress));
		}
	}

	// Returns why the request may not be sent any more, now that there is a connection.
	private String findObstacle(long nowMs) {
		if (this.backend.isClosed(nowMs, 1)) {
			return "backend server is leaving, paused or no longer registered";
		}
		if (lacksPermit()) {
			return "no valid permit";
		}
		return this.version.isMet(nowMs) ? null : "version has become too old";
	}

	/**
	 * Returns whether the backend server has named a limit while its connection was
	 * opened, or the permit has lapsed meanwhile.
	 * @return true if the request must not be sent
	 */
	boolean lacksPermit() {
		return this.backend.limit().isNamed() && (this.permit == null || !this.permit.holds(this.context.clock()));
	}

	private void checkProgress() {
		if (this.ended) {
			return;
		}
		long untilWithdrawalMs = untilWithdrawalMs();
		if (untilWithdrawalMs <= 0) {
			withdraw();
			return;
		}
		if (untilWithdrawalMs < PROGRESS_CHECK_INTERVAL_MS) {
			this.context.vertx().setTimer(untilWithdrawalMs, (id) -> this.listener.guard(this::checkProgress));
		}
		boolean silent = isSilent();
		if (silent && !this.silenceLogged) {
			this.silenceLogged = true;
			this.context.log()
				.write(LogEvent.ATTEMPT_SILENT, "id", this.request.attemptId(), "backend", backendId(), "silent-ms",
						silentMs(), "begun", this.listener.hasForwardedEvents());
		}
		if (silent || untilWithdrawalMs <= WITHDRAWAL_NOTICE_MS) {
			this.listener.successorWanted(this);
		}
	}

	private boolean isSilent() {
		long nowMs = this.context.nowMs();
		boolean suspected = this.listener.hasForwardedEvents() || this.backend.isReportOverdue(nowMs);
		return silentMs() > SilencePolicy.successorAfterMs(this.request.route().kind(), this.request.route().targetMs(),
				suspected);
	}

	// The head can arrive before the request begins, so only an event shows that a stream
	// has begun.
	private boolean hasBegun() {
		return this.reader != null && (!this.reader.isEventStream() || this.reader.takenEvents() > 0);
	}

	private long untilWithdrawalMs() {
		long nowMs = this.context.nowMs();
		long withdrawalMs = hasBegun() ? VersionRequirement.NEVER_MS : this.version.withdrawalMs(nowMs);
		return (withdrawalMs == VersionRequirement.NEVER_MS) ? Long.MAX_VALUE : withdrawalMs - nowMs;
	}

	// The engine did nothing wrong, so this is no failure of its own.
	private void withdraw() {
		cancel();
		this.listener.attemptFailed(this, AttemptFailure.MAY_HAVE_RUN, "not begun before its version is too old");
	}

	private void abandon(String reason) {
		suspectIdleConnections();
		cancel();
		this.backend.health().recordFailure(this.context.nowMs());
		this.listener.attemptFailed(this, AttemptFailure.MAY_HAVE_RUN, reason);
	}

	private void markEnded() {
		this.ended = true;
		this.memory.close();
		this.work.end();
		this.context.slotFreed(this.request.service());
		if (this.sent) {
			this.backend.attemptEnded(this);
		}
		else {
			this.backend.warmupLimiter().release();
		}
		if (this.progressTimer >= 0) {
			this.context.vertx().cancelTimer(this.progressTimer);
		}
	}

	@Override
	public void headReceived(int status, HttpHeaders headers) {
		recordReceived();
		this.context.loadHeader().record(headers, this.backend, this.lastReceivedMs);
		BackendNotice notice = BackendNotice.decode(status, headers::getAll);
		this.context.fleet().leaving().recordNotice(this.backend, notice);
		if (this.context.limits().record(this.backend, notice.limitPerSecond(), this.sentAtMs)) {
			this.context.tellOtherEntries();
		}
		this.reader = new ResponseReader(status, headers, this.request.route().kind());
		String error = this.reader.headError();
		if (error != null) {
			abandon(error);
		}
	}

	private void recordReceived() {
		this.lastReceivedMs = this.context.nowMs();
		this.backend.recordReceived(this.lastReceivedMs);
	}

	@Override
	public void bodyReceived(byte[] bytes) {
		this.reader.append(bytes);
		if (!this.reader.isEventStream()) {
			recordReceived();
		}
		else if (this.reader.hasEvent()) {
			// Only complete events count as progress, so that a stream with a byte now
			// and then is noticed as stalled.
			recordReceived();
			if (!this.listener.eventsReceived(this, this.reader)) {
				abandon("events do not follow those before");
				return;
			}
			this.work.eventsReceived(this.reader.takenEvents(), this.lastReceivedMs);
			if (this.reader.takenEvents() >= MIN_SOUND_EVENTS) {
				recordAnswerBegun();
			}
		}
		if (!this.ended && this.reader.isMalformed()) {
			abandon("stream contains text that is no event");
		}
		if (!this.ended && this.reader.isTooLarge()) {
			abandon("response too large");
		}
		this.memory.hold(this.reader.heldBytes() + this.listener.heldEventBytes(this));
	}

	private void recordAnswerBegun() {
		if (!this.answerBegun) {
			this.answerBegun = true;
			this.context.harmfulParts().answerBegun(this.request.sharedParts());
			this.listener.answerBegun();
		}
	}

	@Override
	public void responseEnded(boolean delimitedByClose) {
		this.listener.guard(() -> endResponse(delimitedByClose));
	}

	private void endResponse(boolean delimitedByClose) {
		if (this.ended) {
			return;
		}
		long nowMs = this.context.nowMs();
		if (this.reader.isBrokenOff(delimitedByClose)) {
			loseConnection("stream ended before or within an event");
			return;
		}
		markEnded();
		endTrial();
		if (this.reader.isNotRun()) {
			if (this.reader.status() == UNAVAILABLE) {
				this.backend.load().recordRefusal(this.sentAtMs, nowMs);
			}
			this.listener.attemptFailed(this, AttemptFailure.NOT_RUN, "status " + this.reader.status());
			return;
		}
		if (this.reader.status() >= SERVER_ERROR) {
			this.backend.health().recordFailure(nowMs);
			this.context.metrics().recordAttempt(this.request.service(), AttemptFailure.FAILED.label());
			this.listener.responseReceived(this, this.reader.toBufferedResponse());
			return;
		}
		if (this.reader.isSuccess()) {
			recordAnswerBegun();
		}
		this.backend.health().recordSuccess(nowMs);
		this.context.metrics().recordAttempt(this.request.service(), "done");
		if (this.context.harmfulRequests().recordSuccess(this.fingerprint)) {
			this.context.tellOtherEntries();
		}
		if (this.reader.isEventStream()) {
			this.work.completed();
			this.listener.streamEnded(this, this.reader);
		}
		else {
			this.listener.responseReceived(this, this.reader.toBufferedResponse());
		}
	}

	@Override
	public void connectionFailed(String reason) {
		this.listener.guard(() -> loseConnection(reason));
	}

	private void loseConnection(String reason) {
		if (this.ended) {
			return;
		}
		this.backend.health().recordFailure(this.context.nowMs());
		// Called before markEnded(), so that this request is among the possible causes.
		this.context.crashDetector().connectionLost(this.backend);
		markEnded();
		this.listener.attemptFailed(this, AttemptFailure.MAY_HAVE_RUN, reason);
	}

}
