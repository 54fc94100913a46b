package org.wigeontally.entry;

import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.UUID;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;

import io.vertx.core.http.HttpServerResponse;

import org.wigeontally.configuration.Configuration;
import org.wigeontally.control.ControlView;
import org.wigeontally.errors.ErrorType;
import org.wigeontally.http.Refusal;
import org.wigeontally.misc.Clock;
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

	private static final int MAX_ATTEMPTS = 3;

	private static final long RETRY_SOON_MS = 500;

	private final ControlView view;

	private final AgentClient agents;

	private final AnswerRelay relay;

	private final Clock clock;

	private final AtomicLong turn = new AtomicLong();

	private final AtomicInteger inFlight = new AtomicInteger();

	Dispatcher(ControlView view, AgentClient agents, Clock clock) {
		this.view = view;
		this.agents = agents;
		this.relay = new AnswerRelay();
		this.clock = clock;
	}

	void dispatch(CallerRequest request, String claim, HttpServerResponse response) {
		this.inFlight.incrementAndGet();
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

		private final Set<String> tried = new HashSet<>();

		private boolean mayHaveRun;

		private boolean over;

		private Dispatch current;

		Attempts(CallerRequest request, String claim, HttpServerResponse response) {
			this.request = request;
			this.claim = claim;
			this.response = response;
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
			Configuration configuration = view.configuration();
			String version = Candidates.version(configuration, this.request.service());
			List<HostState> candidates = Candidates.list(view, this.request.service(), version, this.tried);
			if (candidates.isEmpty() || this.tried.size() >= MAX_ATTEMPTS) {
				refuse(last);
				return;
			}
			HostState host = candidates.get((int) (Dispatcher.this.turn.getAndIncrement() % candidates.size()));
			this.tried.add(host.getHost().getHost());
			this.current = new Dispatch(UUID.randomUUID().toString(), this.request, version, configuration.revision(),
					this.claim, Dispatcher.this.clock);
			Dispatcher.this.agents.send(host.getHost().getAddress(), this.current).onSuccess(this::answered);
		}

		private void answered(AgentAnswer answer) {
			if (this.over) {
				return;
			}
			if (answer instanceof AgentAnswer.Answered answered) {
				Dispatcher.this.relay.relay(answered.response(), this.response);
				return;
			}
			if (answer instanceof AgentAnswer.NotRun notRun) {
				next(notRun.refusal());
				return;
			}
			String detail = ((AgentAnswer.Lost) answer).detail();
			this.mayHaveRun = true;
			if (this.request.repeatable()) {
				next(Refusal.unknown(detail));
				return;
			}
			refuse(Refusal.unknown(detail));
		}

		private void refuse(Refusal refusal) {
			Refusal truth = this.mayHaveRun ? Refusal.unknown(refusal.message()) : refusal;
			truth.send(this.response);
		}

		void finished() {
			if (!this.over) {
				this.over = true;
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
