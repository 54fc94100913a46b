package org.wigeontally.gateway;

import java.util.HashSet;
import java.util.List;
import java.util.Set;

import io.netty.handler.codec.http.HttpHeaders;
import io.vertx.core.Future;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpServerResponse;

import org.wigeontally.eventlog.LogEvent;
import org.wigeontally.fleet.EngineCandidate;
import org.wigeontally.fleet.EngineDecision;
import org.wigeontally.fleet.EngineModel;
import org.wigeontally.fleet.EngineRequest;
import org.wigeontally.fleet.RequestKind;
import org.wigeontally.fleet.ReturnTime;
import org.wigeontally.fleet.Service;
import org.wigeontally.harmful.Fingerprint;
import org.wigeontally.harmful.Suspicion;

/**
 * Takes one request of a caller to its final answer.
 *
 * <p>
 * The request is sent to one backend server at a time, to no more of them than its route
 * allows. It is sent again only if it surely did not run (no connection, or the backend
 * server says so), or if it may run more than once. An answer is passed on only when it
 * is known to be whole, except for streams, of which whole events are passed on as they
 * arrive; a stream that breaks goes on at another backend server where the route allows
 * it, and otherwise ends in a way that cannot look complete. When the caller leaves, the
 * connection to the backend server is closed, which stops the work there. Runs on the
 * event loop.
 */
final class RequestRelay {

	/** Least time that is left for another attempt to make sense. */
	private static final long LEAST_LEFT_MS = 30;

	/** Times that no connection could be made before the request is given up. */
	private static final int CONNECT_FAILURES_MAX = 4;

	/**
	 * Silence of a plain backend server after which an idempotent request tries another,
	 * in targets.
	 */
	private static final double SILENCE_TARGETS = 2.5;

	/**
	 * Silence in a stream, or of an engine whose agent is silent too, before another is
	 * tried.
	 */
	private static final long STREAM_SILENCE_MS = 1_200;

	/** Longest wait for a first event before another engine is tried. */
	private static final long FIRST_EVENT_SILENCE_MS = 2_200;

	private static final long SILENCE_CHECK_MS = 200;

	/**
	 * Return of callers for whom there is no backend server; it takes seconds for one to
	 * come.
	 */
	private static final double NO_BACKEND_RETURN_MS = 1_200;

	/**
	 * Part of a connection's idle time that may have passed for a request that must not
	 * be repeated.
	 */
	private static final double FRESH_MARGIN = 0.4;

	private static final double ANY_MARGIN = 0.95;

	private final GatewayContext context;

	private final CandidateSelection selection;

	private final CallerRequest request;

	private final Fingerprint fingerprint;

	private final long endMs;

	private final long elapsedBeforeMs;

	private final Set<String> tried = new HashSet<>();

	private Attempt attempt;

	private AnswerRelay relay;

	private HeldAnswer held;

	private int sends;

	private int connectFailures;

	private boolean mayHaveRun;

	private boolean finished;

	private long endTimer = -1;

	private long silenceTimer = -1;

	RequestRelay(GatewayContext context, CandidateSelection selection, CallerRequest request) {
		this.context = context;
		this.selection = selection;
		this.request = request;
		this.fingerprint = request.fingerprint();
		this.endMs = request.receivedAtMs() + Math.min(request.deadlineMs(), request.route().timeoutMs());
		this.elapsedBeforeMs = context.elapsedBeforeMs(request.route().name(), request.deadlineMs());
	}

	void start() {
		this.context.begin();
		this.request.http().response().closeHandler((v) -> callerLeft());
		this.request.http().response().exceptionHandler((failure) -> callerLeft());
		Suspicion suspicion = this.context.harmful().judge(this.fingerprint);
		if (suspicion.level() == Suspicion.Level.HARMFUL) {
			refuse(OwnAnswer.notRun("brought-backends-down", suspicion.remainingMs() / 1000.0));
			return;
		}
		this.context.allowance(this.request.service()).request(this.request.receivedAtMs());
		long leftMs = this.endMs - this.context.nowMs();
		this.endTimer = this.context.vertx().setTimer(Math.max(1, leftMs), (id) -> timeUp());
		place();
	}

	private void place() {
		long nowMs = this.context.nowMs();
		Service service = this.context.fleet().configuration().service(this.request.service()).orElse(null);
		List<Backend> candidates = (service != null) ? this.selection.find(this.request, service, this.tried, nowMs)
				: List.of();
		if (candidates.isEmpty()) {
			this.context.log()
				.write(LogEvent.REQUEST_NOT_PLACED, "id", this.request.attemptId(), "service", this.request.service(),
						"candidates", 0, "known", this.selection.count(this.request.service()), "tried",
						this.tried.size());
			giveUp("no-backend", NO_BACKEND_RETURN_MS);
			return;
		}
		List<EngineCandidate> rows = candidates.stream()
			.map((backend) -> this.selection.candidate(backend, nowMs))
			.toList();
		if (service.engine().isEmpty()) {
			send(backend(candidates, this.context.plainPlacement().choose(rows)), -1, 0);
			return;
		}
		EngineModel model = service.engine().get();
		EngineRequest wanted = new EngineRequest(this.request.promptTokens(model.usualPrompt()),
				this.request.route().targetMs() - this.elapsedBeforeMs - (nowMs - this.request.receivedAtMs()),
				this.endMs - nowMs, this.request.priority());
		EngineDecision decision = this.context.enginePlacement(model).decide(wanted, rows);
		if (decision instanceof EngineDecision.TurnAway turnAway) {
			this.context.log()
				.write(LogEvent.REQUEST_NOT_PLACED, "id", this.request.attemptId(), "service", this.request.service(),
						"candidates", rows.size(), "best-load", turnAway.leastLoad(), "first-event-ms",
						Math.round(turnAway.firstEventMs()), "target-left-ms", Math.round(wanted.targetLeftMs()),
						"deadline-left-ms", Math.round(wanted.deadlineLeftMs()));
			giveUp("engines-full", turnAway.comeBackMs());
			return;
		}
		EngineDecision.Place place = (EngineDecision.Place) decision;
		send(backend(candidates, place.id()), place.rank(), this.selection.requiredVersion(model, nowMs));
	}

	private static Backend backend(List<Backend> candidates, String id) {
		for (Backend candidate : candidates) {
			if (candidate.record().id().equals(id)) {
				return candidate;
			}
		}
		throw new IllegalStateException("no candidate " + id);
	}

	private void send(Backend backend, int engineRank, long version) {
		Attempt next = new Attempt(backend, engineRank, version);
		this.attempt = next;
		this.tried.add(backend.record().id());
		backend.load().sent();
		double margin = (this.request.route().kind() == RequestKind.ONCE) ? FRESH_MARGIN : ANY_MARGIN;
		BackendConnection idle = backend.pool().takeIdle(margin);
		Future<BackendConnection> connected = (idle != null) ? Future.succeededFuture(idle) : backend.pool().connect();
		connected.onComplete((result) -> {
			if (result.failed()) {
				next.connectFailed(result.cause());
			}
			else if (next.isOver()) {
				backend.pool().giveBack(result.result());
			}
			else {
				next.connected(result.result());
			}
		});
	}

	/**
	 * Decides what follows an attempt that brought no answer.
	 * @param failed the attempt
	 * @param outcome what is known of it
	 * @param reason what happened
	 */
	private void attemptFailed(Attempt failed, AttemptEnd outcome, String reason) {
		this.context.metrics().attempted(this.request.service(), outcome.text());
		this.context.log()
			.write(LogEvent.ATTEMPT_FAILED, "id", this.request.attemptId(), "backend", failed.backend.record().id(),
					"outcome", outcome.text(), "reason", reason, "after-ms", this.context.nowMs() - failed.startMs,
					"sends", this.sends);
		if (this.finished) {
			return;
		}
		if (outcome == AttemptEnd.MAY_HAVE_RUN) {
			this.mayHaveRun = true;
		}
		long leftMs = this.endMs - this.context.nowMs();
		boolean allowed = switch (outcome) {
			case NOT_SENT -> this.connectFailures < CONNECT_FAILURES_MAX;
			case NOT_RUN -> mayRepeat();
			case MAY_HAVE_RUN, FAILED -> this.request.route().repeatable() && mayRepeat();
		};
		if (!allowed || leftMs < LEAST_LEFT_MS) {
			giveUp(reason, NO_BACKEND_RETURN_MS);
			return;
		}
		place();
	}

	private boolean mayRepeat() {
		return this.sends < this.request.route().maxAttempts()
				&& this.context.allowance(this.request.service()).tryRepeat(this.context.nowMs());
	}

	// Ends the request without a backend server's answer, or with one that is not wanted.
	private void giveUp(String reason, double roomInMs) {
		if (this.relay != null) {
			breakStream(reason);
			return;
		}
		if (this.held != null) {
			deliver(this.held);
			return;
		}
		if (this.mayHaveRun) {
			refuse(OwnAnswer.unknownOutcome(reason));
			return;
		}
		double leftMs = this.request.receivedAtMs() + this.request.deadlineMs() - this.context.nowMs();
		refuse(OwnAnswer.notRun(reason, ReturnTime.seconds(roomInMs, leftMs, this.context.random())));
	}

	private void timeUp() {
		this.endTimer = -1;
		if (this.finished) {
			return;
		}
		boolean running = this.attempt != null && this.attempt.sent;
		cancelAttempt();
		if (this.relay != null) {
			breakStream("timeout");
		}
		else if (this.held != null) {
			deliver(this.held);
		}
		else if (running || this.mayHaveRun) {
			refuse(OwnAnswer.timeout("timeout"));
		}
		else {
			refuse(OwnAnswer.notRun("timeout", 0));
		}
	}

	private void callerLeft() {
		if (this.finished) {
			return;
		}
		this.context.log()
			.write(LogEvent.CALLER_LEFT, "id", this.request.attemptId(), "after-ms",
					this.context.nowMs() - this.request.receivedAtMs(), "begun", this.relay != null);
		cancelAttempt();
		finish("caller-left");
	}

	private void cancelAttempt() {
		if (this.attempt != null) {
			this.attempt.cancel();
			this.attempt = null;
		}
	}

	private void refuse(OwnAnswer answer) {
		if (this.finished) {
			return;
		}
		this.context.log()
			.write(LogEvent.REQUEST_REFUSED, "id", this.request.attemptId(), "route", this.request.route().name(),
					"organisation", this.request.organisationName(), "status", answer.status(), "reason",
					answer.reason(), "return-s", answer.returnSeconds(), "sends", this.sends, "after-ms",
					this.context.nowMs() - this.request.receivedAtMs(), "configuration",
					this.context.fleet().configuration().version());
		Front.write(this.request.http().response(), answer, this.context.leaving());
		finish(answer.reason());
	}

	private void breakStream(String reason) {
		this.context.log()
			.write(LogEvent.REQUEST_REFUSED, "id", this.request.attemptId(), "route", this.request.route().name(),
					"reason", reason, "begun", true, "last-event", this.relay.lastEventId(), "after-ms",
					this.context.nowMs() - this.request.receivedAtMs());
		finish("stream-cut");
		// Without the end of the chunked body the caller cannot take the answer for
		// whole.
		this.request.http().connection().close();
	}

	private void deliver(HeldAnswer answer) {
		HttpServerResponse response = this.request.http().response();
		AnswerRelay.copyHead(answer.status(), answer.headers(), response, this.context.leaving());
		answered(answer.status());
		response.end(Buffer.buffer(answer.body()));
	}

	private void answered(int status) {
		long ms = this.context.nowMs() - this.request.receivedAtMs();
		this.context.metrics().whole(this.request.service(), ms);
		this.context.log()
			.write(LogEvent.REQUEST_DONE, "id", this.request.attemptId(), "route", this.request.route().name(),
					"status", status, "sends", this.sends, "after-ms", ms);
		finish((status < 400) ? "done" : "failed-by-backend");
	}

	private void finish(String outcome) {
		this.finished = true;
		this.context.end();
		this.context.metrics().answered(this.request.route().name(), this.request.organisationName(), outcome);
		if (this.endTimer >= 0) {
			this.context.vertx().cancelTimer(this.endTimer);
		}
		if (this.silenceTimer >= 0) {
			this.context.vertx().cancelTimer(this.silenceTimer);
		}
	}

	/**
	 * One sending to one backend server.
	 */
	private final class Attempt implements BackendAnswer {

		private final Backend backend;

		private final int engineRank;

		private final long version;

		private final long startMs = RequestRelay.this.context.nowMs();

		private long heardMs = this.startMs;

		private BackendConnection connection;

		private boolean sent;

		private boolean over;

		private AnswerReader reader;

		private Attempt(Backend backend, int engineRank, long version) {
			this.backend = backend;
			this.engineRank = engineRank;
			this.version = version;
		}

		private boolean isOver() {
			return this.over;
		}

		private void connectFailed(Throwable cause) {
			if (this.over) {
				return;
			}
			end();
			this.backend.health().unreachable(RequestRelay.this.context.nowMs());
			RequestRelay.this.connectFailures++;
			attemptFailed(this, AttemptEnd.NOT_SENT, "connect: " + cause.getMessage());
		}

		private void connected(BackendConnection opened) {
			RequestRelay relay = RequestRelay.this;
			long nowMs = relay.context.nowMs();
			long leftMs = relay.endMs - nowMs;
			if (this.backend.gone() || this.backend.record().draining()) {
				this.backend.pool().giveBack(opened);
				end();
				relay.connectFailures++;
				attemptFailed(this, AttemptEnd.NOT_SENT, "backend left");
				return;
			}
			this.connection = opened;
			this.sent = true;
			this.heardMs = nowMs;
			relay.sends++;
			this.backend.coldShare().sent(nowMs);
			this.backend.begin(relay.fingerprint);
			AnswerRelay begun = relay.relay;
			String lastEvent = (begun != null && begun.lastEventId() != null) ? begun.lastEventId()
					: relay.request.lastEventId();
			BackendCall call = relay.request.call(this.backend.record().id(), leftMs, this.engineRank, this.version,
					lastEvent);
			relay.context.log()
				.write(LogEvent.REQUEST_PLACED, "id", relay.request.attemptId(), "backend", this.backend.record().id(),
						"zone", this.backend.record().zone(), "load",
						this.backend.load().estimate(nowMs, relay.context.fleet().entries()), "load-age-ms",
						Math.min(this.backend.load().reportAgeMs(nowMs), 999_999), "rank", this.engineRank, "left-ms",
						leftMs, "elapsed-before-ms", relay.elapsedBeforeMs, "configuration",
						relay.context.fleet().configuration().version());
			if (begun != null) {
				relay.context.log()
					.write(LogEvent.STREAM_RESUMED, "id", relay.request.attemptId(), "backend",
							this.backend.record().id(), "last-event", lastEvent);
			}
			opened.send(call, this, () -> this.backend.pool().giveBack(opened));
			watchSilence();
		}

		// An attempt that has heard nothing for too long is left for another backend
		// server.
		private void watchSilence() {
			RequestRelay relay = RequestRelay.this;
			if (!relay.request.route().repeatable()) {
				return;
			}
			if (relay.silenceTimer >= 0) {
				relay.context.vertx().cancelTimer(relay.silenceTimer);
			}
			relay.silenceTimer = relay.context.vertx().setPeriodic(SILENCE_CHECK_MS, (id) -> {
				if (!this.over && relay.context.nowMs() - this.heardMs > silenceLimitMs() && canMove()) {
					silent();
				}
			});
		}

		private long silenceLimitMs() {
			RequestRelay relay = RequestRelay.this;
			if (relay.request.route().kind() == RequestKind.IDEMPOTENT) {
				return (long) (relay.request.route().targetMs() * SILENCE_TARGETS);
			}
			boolean agentSilent = this.backend.agentFellSilent(relay.context.nowMs());
			return (relay.relay != null || agentSilent) ? STREAM_SILENCE_MS : FIRST_EVENT_SILENCE_MS;
		}

		private boolean canMove() {
			RequestRelay relay = RequestRelay.this;
			Service service = relay.context.fleet().configuration().service(relay.request.service()).orElse(null);
			return relay.sends < relay.request.route().maxAttempts() && service != null
					&& !relay.selection.find(relay.request, service, relay.tried, relay.context.nowMs()).isEmpty();
		}

		private void silent() {
			cancel();
			this.backend.health().failure(RequestRelay.this.context.nowMs());
			attemptFailed(this, AttemptEnd.MAY_HAVE_RUN, "silence");
		}

		private void cancel() {
			if (this.over) {
				return;
			}
			end();
			if (this.connection != null) {
				this.connection.close();
			}
		}

		private void end() {
			this.over = true;
			this.backend.load().ended();
			if (this.sent) {
				this.backend.end(RequestRelay.this.fingerprint);
			}
		}

		@Override
		public void head(int status, HttpHeaders headers) {
			this.heardMs = RequestRelay.this.context.nowMs();
			LoadHeader.report(headers, this.backend, this.heardMs);
			this.reader = new AnswerReader(status, headers, RequestRelay.this.request.route().kind());
			String fault = this.reader.fault();
			if (fault != null) {
				leave(AttemptEnd.MAY_HAVE_RUN, fault);
			}
		}

		@Override
		public void body(byte[] bytes) {
			this.heardMs = RequestRelay.this.context.nowMs();
			this.reader.add(bytes);
			if (this.reader.isEventStream()) {
				passOn();
			}
		}

		private void passOn() {
			RequestRelay relay = RequestRelay.this;
			if (relay.finished) {
				return;
			}
			if (relay.relay == null && this.reader.hasEvent()) {
				relay.relay = new AnswerRelay(relay.request.http().response(), this.reader, relay.context.leaving());
				relay.context.metrics()
					.firstByte(relay.request.service(), relay.context.nowMs() - relay.request.receivedAtMs());
			}
			if (relay.relay != null) {
				relay.relay.passOn(this.reader);
			}
		}

		private void leave(AttemptEnd outcome, String reason) {
			cancel();
			this.backend.health().failure(RequestRelay.this.context.nowMs());
			attemptFailed(this, outcome, reason);
		}

		@Override
		public void ended() {
			if (this.over) {
				return;
			}
			RequestRelay relay = RequestRelay.this;
			long nowMs = relay.context.nowMs();
			end();
			if (this.reader.isNotRun()) {
				attemptFailed(this, AttemptEnd.NOT_RUN, "status " + this.reader.status());
				return;
			}
			if (this.reader.isEventStream()) {
				streamEnded(nowMs);
				return;
			}
			if (this.reader.status() >= 500) {
				this.backend.health().failure(nowMs);
				backendFailed();
				return;
			}
			this.backend.health().success(nowMs);
			ran();
			relay.context.metrics().attempted(relay.request.service(), "done");
			if (relay.relay != null) {
				relay.giveUp("answer is no stream", NO_BACKEND_RETURN_MS);
				return;
			}
			relay.context.metrics().firstByte(relay.request.service(), nowMs - relay.request.receivedAtMs());
			relay.deliver(this.reader.whole());
		}

		private void ran() {
			if (RequestRelay.this.context.harmful().succeeded(RequestRelay.this.fingerprint)) {
				RequestRelay.this.context.suspectsChanged();
			}
		}

		private void streamEnded(long nowMs) {
			RequestRelay relay = RequestRelay.this;
			if (this.reader.hasRest()) {
				this.backend.health().failure(nowMs);
				attemptFailed(this, AttemptEnd.MAY_HAVE_RUN, "stream ended within an event");
				return;
			}
			this.backend.health().success(nowMs);
			ran();
			relay.context.metrics().attempted(relay.request.service(), "done");
			if (relay.relay == null) {
				relay.relay = new AnswerRelay(relay.request.http().response(), this.reader, relay.context.leaving());
			}
			AnswerRelay whole = relay.relay;
			relay.answered(this.reader.status());
			whole.end();
		}

		// A failure of the backend server's own is an answer; another try may bring a
		// better one.
		private void backendFailed() {
			RequestRelay relay = RequestRelay.this;
			if (relay.held == null) {
				relay.held = this.reader.whole();
			}
			attemptFailed(this, AttemptEnd.FAILED, "status " + this.reader.status());
		}

		@Override
		public void broken(String reason) {
			if (this.over) {
				return;
			}
			this.backend.health().failure(RequestRelay.this.context.nowMs());
			CrashWatch.suspect(RequestRelay.this.context, this.backend);
			end();
			attemptFailed(this, AttemptEnd.MAY_HAVE_RUN, reason);
		}

	}

}
