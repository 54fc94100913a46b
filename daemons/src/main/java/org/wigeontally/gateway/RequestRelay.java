package org.wigeontally.gateway;

import java.util.HashSet;
import java.util.List;
import java.util.Set;

import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpServerResponse;

import org.wigeontally.eventlog.LogEvent;
import org.wigeontally.fleet.BackendCandidate;
import org.wigeontally.fleet.EngineProfile;
import org.wigeontally.fleet.EngineRequest;
import org.wigeontally.fleet.PlacementDecision;
import org.wigeontally.fleet.RetryAfter;
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
final class RequestRelay implements AttemptListener {

	/** Least time that is left for another attempt to make sense. */
	private static final long LEAST_LEFT_MS = 30;

	private static final int SERVER_ERROR = 500;

	/** Reason after an attempt; what happened there is logged with the attempt. */
	private static final String ATTEMPT_FAILED = "attempt-failed";

	/** Times that no connection could be made before the request is given up. */
	private static final int CONNECT_FAILURES_MAX = 4;

	/**
	 * Return of callers for whom there is no backend server; it takes seconds for one to
	 * come.
	 */
	private static final double NO_BACKEND_RETURN_MS = 1_200;

	private final GatewayContext context;

	private final CandidateSelector selection;

	private final CallerRequest request;

	private final Fingerprint fingerprint;

	private final long endMs;

	private final long elapsedBeforeMs;

	private final Set<String> tried = new HashSet<>();

	private BackendAttempt attempt;

	private EventStreamWriter relay;

	private BufferedResponse held;

	private int sends;

	private int connectFailures;

	private boolean mayHaveRun;

	private boolean finished;

	private long endTimer = -1;

	RequestRelay(GatewayContext context, CandidateSelector selection, CallerRequest request) {
		this.context = context;
		this.selection = selection;
		this.request = request;
		this.fingerprint = request.fingerprint();
		this.endMs = request.receivedAtMs() + Math.min(request.callerTimeoutMs(), request.route().timeoutMs());
		this.elapsedBeforeMs = context.elapsedBeforeMs(request.route().name(), request.callerTimeoutMs());
	}

	void start() {
		this.context.begin();
		this.request.http().response().closeHandler((v) -> callerLeft());
		this.request.http().response().exceptionHandler((failure) -> callerLeft());
		Suspicion suspicion = this.context.harmful().classify(this.fingerprint);
		if (suspicion.level() == Suspicion.Level.HARMFUL) {
			refuse(LocalResponse.notRun("brought-backends-down", suspicion.expiresInMs() / 1000.0));
			return;
		}
		this.context.allowance(this.request.service()).recordRequest(this.request.receivedAtMs());
		long leftMs = this.endMs - this.context.nowMs();
		this.endTimer = this.context.vertx().setTimer(Math.max(1, leftMs), (id) -> timeUp());
		place();
	}

	private void place() {
		long nowMs = this.context.nowMs();
		Service service = this.context.fleet().service(this.request.service());
		List<Backend> candidates = candidates(service, nowMs);
		if (candidates.isEmpty()) {
			this.context.log()
				.write(LogEvent.REQUEST_NOT_PLACED, "id", this.request.attemptId(), "service", this.request.service(),
						"candidates", 0, "known", this.selection.countBackends(this.request.service()), "tried",
						this.tried.size());
			giveUp("no-backend", NO_BACKEND_RETURN_MS);
			return;
		}
		List<BackendCandidate> rows = candidates.stream()
			.map((backend) -> this.selection.toPlacementCandidate(backend, nowMs))
			.toList();
		if (service.engine().isEmpty()) {
			send(backend(candidates, this.context.plainPlacement().chooseBackend(rows)), -1, 0);
			return;
		}
		EngineProfile model = service.engine().get();
		EngineRequest wanted = new EngineRequest(this.request.promptTokens(model.meanPromptTokens()),
				this.request.route().targetMs() - this.elapsedBeforeMs - (nowMs - this.request.receivedAtMs()),
				this.endMs - nowMs, this.request.priority());
		PlacementDecision decision = this.context.enginePlacement(model).decide(wanted, rows);
		if (decision instanceof PlacementDecision.Reject turnAway) {
			this.context.log()
				.write(LogEvent.REQUEST_NOT_PLACED, "id", this.request.attemptId(), "service", this.request.service(),
						"candidates", rows.size(), "best-load", turnAway.engineLoad(), "first-event-ms",
						Math.round(turnAway.firstEventMs()), "target-left-ms", Math.round(wanted.targetLeftMs()),
						"deadline-left-ms", Math.round(wanted.deadlineLeftMs()));
			giveUp("engines-full", turnAway.retryAfterMs());
			return;
		}
		PlacementDecision.Place place = (PlacementDecision.Place) decision;
		send(backend(candidates, place.id()), place.enginePriority(), this.selection.requiredVersion(model, nowMs));
	}

	private List<Backend> candidates(Service service, long nowMs) {
		return (service != null) ? this.selection.findCandidates(this.request, service, this.tried, nowMs) : List.of();
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
		this.tried.add(backend.record().id());
		this.attempt = new BackendAttempt(this.context, this.request, this.fingerprint, backend, engineRank, version,
				this);
		this.attempt.start();
	}

	@Override
	public long leftMs() {
		return this.endMs - this.context.nowMs();
	}

	@Override
	public String lastEventId() {
		String passedOn = (this.relay != null) ? this.relay.lastEventId() : null;
		return (passedOn != null) ? passedOn : this.request.lastEventId();
	}

	@Override
	public boolean hasForwardedEvents() {
		return this.relay != null;
	}

	@Override
	public boolean hasOtherBackend() {
		Service service = this.context.fleet().service(this.request.service());
		return this.sends < this.request.route().maxAttempts() && !candidates(service, this.context.nowMs()).isEmpty();
	}

	@Override
	public void requestSent() {
		this.sends++;
	}

	@Override
	public void eventsReceived(ResponseReader reader) {
		if (this.finished) {
			return;
		}
		if (this.relay == null && reader.hasEvent()) {
			begin(reader);
			this.context.metrics().firstByte(this.request.service(), ageMs());
		}
		if (this.relay != null) {
			this.relay.writeEvents(reader);
		}
	}

	private void begin(ResponseReader reader) {
		this.relay = new EventStreamWriter(this.request.http().response(), reader, this.context.leaving());
	}

	@Override
	public void streamEnded(ResponseReader reader) {
		if (this.finished) {
			return;
		}
		if (this.relay == null) {
			begin(reader);
		}
		answered(reader.status());
		this.relay.end();
	}

	@Override
	public void responseReceived(BufferedResponse answer) {
		if (this.finished) {
			return;
		}
		if (this.relay != null) {
			giveUp(ATTEMPT_FAILED, NO_BACKEND_RETURN_MS);
			return;
		}
		// A failure of the backend server's own is an answer; another try may bring a
		// better one.
		if (answer.status() >= SERVER_ERROR) {
			this.held = (this.held != null) ? this.held : answer;
			attemptFailed(this.attempt, AttemptFailure.FAILED, "status " + answer.status());
			return;
		}
		this.context.metrics().firstByte(this.request.service(), ageMs());
		deliver(answer);
	}

	@Override
	public void attemptFailed(BackendAttempt failed, AttemptFailure outcome, String reason) {
		if (outcome != AttemptFailure.FAILED) {
			this.context.metrics().attempted(this.request.service(), outcome.label());
		}
		this.context.log()
			.write(LogEvent.ATTEMPT_FAILED, "id", this.request.attemptId(), "backend", failed.backendId(), "outcome",
					outcome.label(), "reason", reason, "after-ms", failed.elapsedMs(), "sends", this.sends);
		if (this.finished) {
			return;
		}
		if (outcome == AttemptFailure.MAY_HAVE_RUN) {
			this.mayHaveRun = true;
		}
		this.connectFailures += (outcome == AttemptFailure.NOT_SENT) ? 1 : 0;
		boolean allowed = switch (outcome) {
			case NOT_SENT -> this.connectFailures < CONNECT_FAILURES_MAX;
			case NOT_RUN -> mayRepeat();
			case MAY_HAVE_RUN, FAILED -> this.request.route().isRetryable() && mayRepeat();
		};
		if (!allowed || leftMs() < LEAST_LEFT_MS) {
			giveUp(ATTEMPT_FAILED, NO_BACKEND_RETURN_MS);
			return;
		}
		place();
	}

	private boolean mayRepeat() {
		return this.sends < this.request.route().maxAttempts()
				&& this.context.allowance(this.request.service()).tryAcquireRetry(this.context.nowMs());
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
			refuse(LocalResponse.unknownOutcome(reason));
			return;
		}
		double leftMs = this.request.receivedAtMs() + this.request.callerTimeoutMs() - this.context.nowMs();
		refuse(LocalResponse.notRun(reason, RetryAfter.seconds(roomInMs, leftMs, this.context.random())));
	}

	private void timeUp() {
		this.endTimer = -1;
		if (this.finished) {
			return;
		}
		boolean running = this.attempt != null && this.attempt.isSent();
		cancelAttempt();
		if (this.relay != null) {
			breakStream("timeout");
		}
		else if (this.held != null) {
			deliver(this.held);
		}
		else if (running || this.mayHaveRun) {
			refuse(LocalResponse.timeout("timeout"));
		}
		else {
			refuse(LocalResponse.notRun("timeout", 0));
		}
	}

	private void callerLeft() {
		if (this.finished) {
			return;
		}
		this.context.log()
			.write(LogEvent.CALLER_LEFT, "id", this.request.attemptId(), "after-ms", ageMs(), "begun",
					this.relay != null);
		cancelAttempt();
		finish("caller-left");
	}

	private void cancelAttempt() {
		if (this.attempt != null) {
			this.attempt.cancel();
			this.attempt = null;
		}
	}

	private void refuse(LocalResponse answer) {
		if (this.finished) {
			return;
		}
		this.context.log()
			.write(LogEvent.REQUEST_REFUSED, "id", this.request.attemptId(), "route", this.request.route().name(),
					"organisation", this.request.organisationName(), "status", answer.status(), "reason",
					answer.reason(), "return-s", answer.retryAfterSeconds(), "sends", this.sends, "after-ms", ageMs(),
					"configuration", this.context.fleet().configuration().version());
		CallerRequestHandler.writeResponse(this.request.http().response(), answer, this.context.leaving());
		finish(answer.reason());
	}

	private void breakStream(String reason) {
		this.context.log()
			.write(LogEvent.REQUEST_REFUSED, "id", this.request.attemptId(), "route", this.request.route().name(),
					"reason", reason, "begun", true, "last-event", this.relay.lastEventId(), "after-ms", ageMs());
		finish("stream-cut");
		// Without the end of the chunked body the caller cannot take the answer for
		// whole.
		this.request.http().connection().close();
	}

	private void deliver(BufferedResponse answer) {
		HttpServerResponse response = this.request.http().response();
		EventStreamWriter.copyHead(answer.status(), answer.headers(), response, this.context.leaving());
		answered(answer.status());
		response.end(Buffer.buffer(answer.body()));
	}

	private void answered(int status) {
		long ms = ageMs();
		this.context.metrics().whole(this.request.service(), ms);
		this.context.log()
			.write(LogEvent.REQUEST_DONE, "id", this.request.attemptId(), "route", this.request.route().name(),
					"status", status, "sends", this.sends, "after-ms", ms);
		finish((status < 400) ? "done" : "failed-by-backend");
	}

	private long ageMs() {
		return this.context.nowMs() - this.request.receivedAtMs();
	}

	private void finish(String outcome) {
		this.finished = true;
		this.context.end();
		this.context.metrics().answered(this.request.route().name(), this.request.organisationName(), outcome);
		if (this.endTimer >= 0) {
			this.context.vertx().cancelTimer(this.endTimer);
		}
	}

}
