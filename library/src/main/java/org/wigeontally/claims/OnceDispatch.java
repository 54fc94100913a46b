package org.wigeontally.claims;

import java.util.Iterator;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.Executor;
import java.util.function.Function;

import org.wigeontally.schema.generated.ClaimReport;
import org.wigeontally.schema.generated.ClaimState;

/**
 * Runs a request at most once: claims its key, dispatches under the claim to the agents
 * that it names, one after the other, and settles what came of each before the next.
 * <p>
 * An agent that has no room fences the claim before it says so. An agent that gave no
 * answer is asked to fence it: if it had not let the request through, it never will. Only
 * when every agent that was tried has fenced the claim is it released and the caller told
 * "not run". Used on the control context.
 */
public final class OnceDispatch {

	private static final long RETRY_MS = 500;

	private final Claims claims;

	private final ClaimRecovery recovery;

	private final Executor control;

	private OnceDispatch(Claims claims, ClaimRecovery recovery, Executor control) {
		this.claims = claims;
		this.recovery = recovery;
		this.control = control;
	}

	/**
	 * Creates the dispatcher of an entry host.
	 * @param claims claims of this host
	 * @param recovery recovery of this host
	 * @param control brings answers to the control context
	 * @return the dispatcher
	 */
	public static OnceDispatch create(Claims claims, ClaimRecovery recovery, Executor control) {
		return new OnceDispatch(claims, recovery, control);
	}

	/**
	 * Runs a request.
	 * @param request its claim
	 * @param sending sends it to the agent that the ticket names, with the ticket; the
	 * stage gives the agent's word, or fails if there was none
	 * @return {@link ClaimDecision.AlreadyDone} with the outcome;
	 * {@link ClaimDecision.Unsettled} if this sending was not run and will not be;
	 * {@link ClaimDecision.Unknown}, {@link ClaimDecision.KeyReused} or
	 * {@link ClaimDecision.KeyExpired}
	 */
	public CompletionStage<ClaimDecision> run(ClaimRequest request,
			Function<ClaimTicket, CompletionStage<ClaimReport>> sending) {
		CompletableFuture<ClaimDecision> result = new CompletableFuture<>();
		this.recovery.claim(request).whenCompleteAsync((decision, failure) -> {
			if (decision instanceof ClaimDecision.Won won) {
				Iterator<String> agents = won.holding().claim().getAgentsList().iterator();
				new Attempt(request, won.holding(), sending, agents, result).next();
				return;
			}
			result.complete(decision);
		}, this.control);
		return result;
	}

	/**
	 * The dispatch of one claim.
	 */
	private final class Attempt {

		private final ClaimRequest request;

		private final ClaimHolding holding;

		private final Function<ClaimTicket, CompletionStage<ClaimReport>> sending;

		private final Iterator<String> agents;

		private final CompletableFuture<ClaimDecision> result;

		Attempt(ClaimRequest request, ClaimHolding holding, Function<ClaimTicket, CompletionStage<ClaimReport>> sending,
				Iterator<String> agents, CompletableFuture<ClaimDecision> result) {
			this.request = request;
			this.holding = holding;
			this.sending = sending;
			this.agents = agents;
			this.result = result;
		}

		void next() {
			if (!this.agents.hasNext() || !OnceDispatch.this.claims.startDispatch(this.holding)) {
				OnceDispatch.this.claims.release(this.holding);
				this.result.complete(new ClaimDecision.Unsettled(RETRY_MS));
				return;
			}
			String process = this.agents.next();
			this.sending.apply(ClaimTicket.of(this.holding, process)).whenCompleteAsync((report, failure) -> {
				if (failure == null && isFinal(report)) {
					settled(report);
					return;
				}
				OnceDispatch.this.recovery.settle(process, this.holding, this.request.deadlineMs())
					.whenCompleteAsync((later, unreached) -> settled(later), OnceDispatch.this.control);
			}, OnceDispatch.this.control);
		}

		private boolean isFinal(ClaimReport report) {
			return report.getState() == ClaimState.CLAIM_DONE || report.getState() == ClaimState.CLAIM_FENCED;
		}

		private void settled(ClaimReport report) {
			if (report.getState() == ClaimState.CLAIM_FENCED) {
				next();
				return;
			}
			if (report.getState() == ClaimState.CLAIM_DONE) {
				OnceDispatch.this.claims.outcome(this.holding, report.getOutcome());
				this.result.complete(new ClaimDecision.AlreadyDone(report.getOutcome()));
				return;
			}
			this.result.complete(new ClaimDecision.Unknown());
		}

	}

}
