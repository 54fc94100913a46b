package org.wigeontally.claims;

import java.util.Iterator;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.Executor;
import java.util.function.Function;

import org.wigeontally.schema.generated.ClaimReport;
import org.wigeontally.schema.generated.ClaimState;

/**
 * Runs a request at most once. Claims the key of the request, then dispatches it under
 * the claim to the agents that the claim names, one at a time; the result from each agent
 * is determined before the next agent is tried.
 * <p>
 * An agent without room for the request fences the claim before it answers. An agent that
 * gave no answer is asked to fence the claim; if it had not let the request through, it
 * never will. Only when every agent that was tried has fenced the claim is the claim
 * released and the caller told that the request was not run.
 * <p>
 * Used only on the control context.
 */
public final class AtMostOnceDispatcher {

	private static final long RETRY_DELAY_MS = 500;

	private final Claims claims;

	private final ClaimRecovery recovery;

	private final Executor controlExecutor;

	private AtMostOnceDispatcher(Claims claims, ClaimRecovery recovery, Executor controlExecutor) {
		this.claims = claims;
		this.recovery = recovery;
		this.controlExecutor = controlExecutor;
	}

	/**
	 * Creates the dispatcher of an entry host.
	 * @param claims claims of this host
	 * @param recovery claim recovery of this host
	 * @param controlExecutor runs tasks on the control context
	 * @return the dispatcher
	 */
	public static AtMostOnceDispatcher create(Claims claims, ClaimRecovery recovery, Executor controlExecutor) {
		return new AtMostOnceDispatcher(claims, recovery, controlExecutor);
	}

	/**
	 * Runs a request.
	 * @param request the request for a claim
	 * @param sender sends the request, with the ticket, to the agent that the ticket
	 * names; the stage completes with the agent's report, or fails if there was none
	 * @return {@link ClaimDecision.AlreadyDone} with the outcome;
	 * {@link ClaimDecision.NotRun} if the request was not run for this attempt and will
	 * not be; {@link ClaimDecision.OutcomeUnknown}, {@link ClaimDecision.KeyReused} or
	 * {@link ClaimDecision.KeyExpired}
	 */
	public CompletionStage<ClaimDecision> run(ClaimRequest request,
			Function<ClaimTicket, CompletionStage<ClaimReport>> sender) {
		CompletableFuture<ClaimDecision> result = new CompletableFuture<>();
		this.recovery.claimOrRecover(request).whenCompleteAsync((decision, failure) -> {
			if (decision instanceof ClaimDecision.Granted granted) {
				Iterator<String> agents = granted.grant().claim().getAgentsList().iterator();
				new ClaimDispatch(request, granted.grant(), sender, agents, result).tryNextAgent();
				return;
			}
			result.complete(decision);
		}, this.controlExecutor);
		return result;
	}

	/**
	 * Dispatch of one granted claim.
	 */
	private final class ClaimDispatch {

		private final ClaimRequest request;

		private final ClaimGrant grant;

		private final Function<ClaimTicket, CompletionStage<ClaimReport>> sender;

		private final Iterator<String> remainingAgents;

		private final CompletableFuture<ClaimDecision> result;

		ClaimDispatch(ClaimRequest request, ClaimGrant grant,
				Function<ClaimTicket, CompletionStage<ClaimReport>> sender, Iterator<String> remainingAgents,
				CompletableFuture<ClaimDecision> result) {
			this.request = request;
			this.grant = grant;
			this.sender = sender;
			this.remainingAgents = remainingAgents;
			this.result = result;
		}

		void tryNextAgent() {
			if (!this.remainingAgents.hasNext() || !AtMostOnceDispatcher.this.claims.tryStartDispatch(this.grant)) {
				AtMostOnceDispatcher.this.claims.release(this.grant);
				this.result.complete(new ClaimDecision.NotRun(RETRY_DELAY_MS));
				return;
			}
			String processId = this.remainingAgents.next();
			this.sender.apply(ClaimTicket.of(this.grant, processId)).whenCompleteAsync((report, failure) -> {
				if (failure == null && isFinal(report)) {
					handleReport(report);
					return;
				}
				AtMostOnceDispatcher.this.recovery
					.fenceAndAwaitOutcome(processId, this.grant, this.request.deadlineMs())
					.whenCompleteAsync((fenceReport, fenceFailure) -> handleReport(fenceReport),
							AtMostOnceDispatcher.this.controlExecutor);
			}, AtMostOnceDispatcher.this.controlExecutor);
		}

		private boolean isFinal(ClaimReport report) {
			return report.getState() == ClaimState.CLAIM_DONE || report.getState() == ClaimState.CLAIM_FENCED;
		}

		private void handleReport(ClaimReport report) {
			if (report.getState() == ClaimState.CLAIM_FENCED) {
				tryNextAgent();
				return;
			}
			if (report.getState() == ClaimState.CLAIM_DONE) {
				AtMostOnceDispatcher.this.claims.recordOutcome(this.grant, report.getOutcome());
				this.result.complete(new ClaimDecision.AlreadyDone(report.getOutcome()));
				return;
			}
			this.result.complete(new ClaimDecision.OutcomeUnknown());
		}

	}

}
