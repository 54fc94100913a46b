package org.wigeontally.entry;

import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.UUID;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.atomic.AtomicInteger;

import io.vertx.core.http.HttpClientResponse;
import io.vertx.core.http.HttpServerResponse;

import org.wigeontally.configuration.Configuration;
import org.wigeontally.control.ControlView;
import org.wigeontally.errors.ErrorType;
import org.wigeontally.harmful.Fingerprint;
import org.wigeontally.harmful.Suspicion;
import org.wigeontally.http.Headers;
import org.wigeontally.http.Outcome;
import org.wigeontally.http.Refusal;
import org.wigeontally.metrics.TrafficLabels;
import org.wigeontally.misc.Clock;
import org.wigeontally.retries.AttemptOutcome;
import org.wigeontally.routing.RoutingRequest;
import org.wigeontally.schema.generated.HostState;

/**
 * Carries a caller's request to a backend server and the answer back.
 * <p>
 * A request is dispatched to one agent at a time. After a dispatch that is known not to
 * have run, the next candidate is tried. After a dispatch that may have run, only a
 * repeatable request is tried again; for any other the caller is told that the outcome is
 * unknown. "Not run" is therefore said only if every dispatch of the request is known not
 * to have run, and once a byte of an answer went to the caller nothing is tried again.
 * <p>
 * Each request stays on its own event loop; the counters are shared.
 */
final class Dispatcher {

	private static final long RETRY_SOON_MS = 500;

	private final ControlView view;

	private final AgentClient agents;

	private final AnswerRelay relay;

	private final Clock clock;

	private final RequestPolicy policy;

	private final AtomicInteger inFlight = new AtomicInteger();

	Dispatcher(ControlView view, AgentClient agents, RequestPolicy policy, Clock clock) {
		this.view = view;
		this.agents = agents;
		this.policy = policy;
		this.relay = new AnswerRelay(policy.metrics(), clock);
		this.clock = clock;
	}

	void dispatch(CallerRequest request, String claim, HttpServerResponse response) {
		this.inFlight.incrementAndGet();
		this.policy.arrived(request);
		Attempts attempts = new Attempts(request, claim, response);
		response.endHandler((end) -> attempts.finished());
		response.closeHandler((closed) -> attempts.abandoned());
		attempts.next(Refusal.notRun(ErrorType.OVERLOADED, RETRY_SOON_MS));
	}

	int inFlight() {
		return this.inFlight.get();
	}

	/**
	 * The attempts of one request.
	 */
	private final class Attempts {

		private final CallerRequest request;

		private final String claim;

		private final HttpServerResponse response;

		private final Fingerprint fingerprint;

		private final TrafficLabels labels;

		private final long arrivedMs = Dispatcher.this.clock.monotonicMs();

		private final List<Long> prefix;

		private final Set<String> tried = new HashSet<>();

		private String host = "";

		private boolean mayHaveRun;

		private boolean over;

		private Dispatch current;

		Attempts(CallerRequest request, String claim, HttpServerResponse response) {
			this.request = request;
			this.claim = claim;
			this.response = response;
			String service = request.service().getName();
			this.fingerprint = Fingerprint.of(service, request.path(), request.body().getBytes());
			this.labels = new TrafficLabels(request.organisation().getName(), service, request.priority());
			this.prefix = request.service().getModel().isEmpty() ? List.of() : PrefixBlocks.of(request.body());
		}

		void next(Refusal last) {
			if (this.over) {
				return;
			}
			ControlView view = Dispatcher.this.view;
			if (!view.serving()) {
				refuse(Refusal.notRun(ErrorType.NOT_SERVING, RETRY_SOON_MS, "its configuration is not confirmed"));
				return;
			}
			Suspicion suspicion = Dispatcher.this.policy.judge(this.fingerprint);
			if (suspicion.level() == Suspicion.Level.HARMFUL) {
				refuse(Refusal.notRun(ErrorType.HARMFUL_REQUEST, suspicion.expiresInMs(), suspicion.lossCount()));
				return;
			}
			Configuration configuration = view.configuration();
			String version = Candidates.version(view, this.request.service(), this.tried,
					ThreadLocalRandom.current().nextDouble());
			List<HostState> candidates = Candidates.list(view, this.request.service(), version, this.tried);
			RoutingRequest choice = RoutingRequest.of(this.request.service().getName())
				.withVersion(version)
				.withPrefix(this.prefix);
			Optional<HostState> chosen = Dispatcher.this.policy.choose(choice, candidates);
			if (chosen.isEmpty()) {
				refuse(last);
				return;
			}
			this.current = new Dispatch(UUID.randomUUID().toString(), this.request, version, configuration.revision(),
					this.claim, this.fingerprint, suspicion.level() == Suspicion.Level.SUSPECT, Dispatcher.this.clock);
			send(chosen.get());
		}

		private void send(HostState target) {
			if (!this.tried.isEmpty()) {
				Dispatcher.this.policy.metrics().retried(this.labels);
			}
			this.host = target.getHost().getHost();
			this.tried.add(this.host);
			Dispatcher.this.policy.loads().sent(this.host, this.labels.service());
			Dispatcher.this.agents.send(target.getHost().getAddress(), this.current).onSuccess(this::answered);
		}

		private void attemptEnded() {
			if (!this.host.isEmpty()) {
				Dispatcher.this.policy.loads().ended(this.host, this.labels.service());
				this.host = "";
			}
		}

		private void answered(AgentAnswer answer) {
			if (this.over) {
				return;
			}
			if (answer instanceof AgentAnswer.Answered answered) {
				relay(answered.response());
				return;
			}
			String agent = this.host;
			attemptEnded();
			if (answer instanceof AgentAnswer.NotRun notRun) {
				Dispatcher.this.policy.loads().heard(agent, this.labels.service(), notRun.load());
				nextOrRefuse(AttemptOutcome.NOT_RUN, notRun.refusal());
				return;
			}
			nextOrRefuse(AttemptOutcome.MAY_HAVE_RUN, Refusal.unknown(((AgentAnswer.Lost) answer).detail()));
		}

		private void relay(HttpClientResponse answer) {
			Dispatcher.this.policy.loads().heard(this.host, this.labels.service(), answer.getHeader(Headers.LOAD));
			Dispatcher.this.relay.relay(answer, this.response, this.labels, this.arrivedMs)
				.onSuccess((whole) -> Dispatcher.this.policy.succeeded(this.fingerprint));
		}

		private void nextOrRefuse(AttemptOutcome outcome, Refusal last) {
			boolean ranBefore = this.mayHaveRun;
			this.mayHaveRun = ranBefore || outcome == AttemptOutcome.MAY_HAVE_RUN;
			if (Dispatcher.this.policy.retry(outcome, this.request, this.tried.size(), ranBefore)) {
				next(last);
				return;
			}
			refuse(last);
		}

		private void refuse(Refusal refusal) {
			Refusal truth = refusal;
			if (this.mayHaveRun && refusal.error() == ErrorType.HARMFUL_REQUEST) {
				truth = new Refusal(refusal.error(), refusal.message(), Outcome.UNKNOWN, refusal.retryAfterMs());
			}
			else if (this.mayHaveRun) {
				truth = Refusal.unknown(refusal.message());
			}
			truth.send(this.response);
		}

		void finished() {
			if (!this.over) {
				this.over = true;
				attemptEnded();
				Dispatcher.this.inFlight.decrementAndGet();
			}
		}

		void abandoned() {
			if (this.over) {
				return;
			}
			finished();
			if (this.current != null) {
				this.current.cancel();
			}
		}

	}

}
