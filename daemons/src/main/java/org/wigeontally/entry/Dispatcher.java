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
 * Forwards a caller's request to a backend server and relays the answer.
 * <p>
 * A request is dispatched to one agent at a time. If a dispatch is known not to have run,
 * the next candidate is tried. If a dispatch may have run, only an idempotent request is
 * retried; for any other request the caller gets the outcome "unknown". The outcome "not
 * run" is therefore reported only if every dispatch of the request is known not to have
 * run. After the first byte of an answer was sent to the caller, the request is not
 * retried.
 * <p>
 * Each request is confined to its own event loop; the counters are shared.
 */
final class Dispatcher {

	private static final long RETRY_AFTER_MS = 500;

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

	void dispatch(CallerRequest request, String claimHeader, HttpServerResponse response) {
		this.inFlight.incrementAndGet();
		this.policy.recordRequest(request);
		RequestAttempts attempts = new RequestAttempts(request, claimHeader, response);
		response.endHandler((end) -> attempts.requestEnded());
		response.closeHandler((closed) -> attempts.callerDisconnected());
		attempts.tryNextHost(Refusal.notRun(ErrorType.OVERLOADED, RETRY_AFTER_MS));
	}

	int inFlight() {
		return this.inFlight.get();
	}

	/**
	 * State of one request over all its dispatches.
	 */
	private final class RequestAttempts {

		private final CallerRequest request;

		private final String claimHeader;

		private final HttpServerResponse response;

		private final Fingerprint fingerprint;

		private final TrafficLabels labels;

		private final long arrivedMs = Dispatcher.this.clock.monotonicMs();

		private final List<Long> prefixBlocks;

		private final Set<String> triedHosts = new HashSet<>();

		private String currentHost = "";

		private boolean mayHaveRun;

		private boolean ended;

		private Dispatch currentDispatch;

		RequestAttempts(CallerRequest request, String claimHeader, HttpServerResponse response) {
			this.request = request;
			this.claimHeader = claimHeader;
			this.response = response;
			String service = request.service().getName();
			this.fingerprint = Fingerprint.of(service, request.path(), request.body().getBytes());
			this.labels = new TrafficLabels(request.organisation().getName(), service, request.priority());
			this.prefixBlocks = request.service().getModel().isEmpty() ? List.of()
					: PrefixBlockHashes.of(request.body());
		}

		void tryNextHost(Refusal lastRefusal) {
			if (this.ended) {
				return;
			}
			ControlView view = Dispatcher.this.view;
			if (!view.isServing()) {
				refuse(Refusal.notRun(ErrorType.NOT_SERVING, RETRY_AFTER_MS, "its configuration is not confirmed"));
				return;
			}
			Suspicion suspicion = Dispatcher.this.policy.classify(this.fingerprint);
			if (suspicion.level() == Suspicion.Level.HARMFUL) {
				refuse(Refusal.notRun(ErrorType.HARMFUL_REQUEST, suspicion.expiresInMs(), suspicion.lossCount()));
				return;
			}
			Configuration configuration = view.configuration();
			String version = Candidates.drawVersion(view, this.request.service(), this.triedHosts,
					ThreadLocalRandom.current().nextDouble());
			List<HostState> candidates = Candidates.eligibleHosts(view, this.request.service(), version,
					this.triedHosts);
			RoutingRequest routingRequest = RoutingRequest.of(this.request.service().getName())
				.withVersion(version)
				.withPrefix(this.prefixBlocks);
			Optional<HostState> chosen = Dispatcher.this.policy.choose(routingRequest, candidates);
			if (chosen.isEmpty()) {
				refuse(lastRefusal);
				return;
			}
			this.currentDispatch = new Dispatch(UUID.randomUUID().toString(), this.request, version,
					configuration.revision(), this.claimHeader, this.fingerprint,
					suspicion.level() == Suspicion.Level.SUSPECT, Dispatcher.this.clock);
			send(chosen.get());
		}

		private void send(HostState target) {
			if (!this.triedHosts.isEmpty()) {
				Dispatcher.this.policy.metrics().recordRetry(this.labels);
			}
			this.currentHost = target.getHost().getHost();
			this.triedHosts.add(this.currentHost);
			Dispatcher.this.policy.loads().requestSent(this.currentHost, this.labels.service());
			Dispatcher.this.agents.send(target.getHost().getAddress(), this.currentDispatch)
				.onSuccess(this::handleResult);
		}

		private void endAttempt() {
			if (!this.currentHost.isEmpty()) {
				Dispatcher.this.policy.loads().requestEnded(this.currentHost, this.labels.service());
				this.currentHost = "";
			}
		}

		private void handleResult(DispatchResult dispatchResult) {
			if (this.ended) {
				return;
			}
			if (dispatchResult instanceof DispatchResult.Answered answered) {
				relay(answered.response());
				return;
			}
			String host = this.currentHost;
			endAttempt();
			if (dispatchResult instanceof DispatchResult.NotRun notRun) {
				Dispatcher.this.policy.loads().recordLoadHeader(host, this.labels.service(), notRun.loadHeader());
				retryOrRefuse(AttemptOutcome.NOT_RUN, notRun.refusal());
				return;
			}
			retryOrRefuse(AttemptOutcome.MAY_HAVE_RUN,
					Refusal.unknownOutcome(((DispatchResult.Unknown) dispatchResult).detail()));
		}

		private void relay(HttpClientResponse answer) {
			Dispatcher.this.policy.loads()
				.recordLoadHeader(this.currentHost, this.labels.service(), answer.getHeader(Headers.LOAD));
			Dispatcher.this.relay.relay(answer, this.response, this.labels, this.arrivedMs)
				.onSuccess((whole) -> Dispatcher.this.policy.recordSuccess(this.fingerprint));
		}

		private void retryOrRefuse(AttemptOutcome outcome, Refusal refusal) {
			boolean earlierMayHaveRun = this.mayHaveRun;
			this.mayHaveRun = earlierMayHaveRun || outcome == AttemptOutcome.MAY_HAVE_RUN;
			if (Dispatcher.this.policy.shouldRetry(outcome, this.request, this.triedHosts.size(), earlierMayHaveRun)) {
				tryNextHost(refusal);
				return;
			}
			refuse(refusal);
		}

		private void refuse(Refusal refusal) {
			Refusal reported = refusal;
			if (this.mayHaveRun && refusal.error() == ErrorType.HARMFUL_REQUEST) {
				reported = new Refusal(refusal.error(), refusal.message(), Outcome.UNKNOWN, refusal.retryAfterMs());
			}
			else if (this.mayHaveRun) {
				reported = Refusal.unknownOutcome(refusal.message());
			}
			reported.send(this.response);
		}

		void requestEnded() {
			if (!this.ended) {
				this.ended = true;
				endAttempt();
				Dispatcher.this.inFlight.decrementAndGet();
			}
		}

		void callerDisconnected() {
			if (this.ended) {
				return;
			}
			requestEnded();
			if (this.currentDispatch != null) {
				this.currentDispatch.cancel();
			}
		}

	}

}
