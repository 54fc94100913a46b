package org.wigeontally.claims;

import java.util.ArrayList;
import java.util.Iterator;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.Executor;

import org.wigeontally.misc.Clock;
import org.wigeontally.schema.generated.ClaimReport;
import org.wigeontally.schema.generated.ClaimState;

/**
 * Decides on a request that was sent again while another claim holds its key.
 * <p>
 * The holder is asked first: it knows whether it dispatched, and it answers with the
 * outcome or says that it never will dispatch. If it is gone or silent, the agents that
 * the claim names are asked, each of which refuses the claim from then on unless it let
 * it through. Only if all of them say so is it known that nothing ran and nothing will;
 * then the claim is released and the key claimed in the same append. If one of them ran
 * it, its outcome is taken. If one does not answer or was replaced, the outcome is
 * unknown.
 * <p>
 * Used on the control context; the owner calls {@link #tick} every few milliseconds.
 */
public final class ClaimRecovery {

	static final long ASK_AGAIN_MS = 50;

	private final Claims claims;

	private final ClaimInquiries inquiries;

	private final Clock clock;

	private final Executor control;

	private final List<Waiting> waiting = new ArrayList<>();

	private ClaimRecovery(Claims claims, ClaimInquiries inquiries, Clock clock, Executor control) {
		this.claims = claims;
		this.inquiries = inquiries;
		this.clock = clock;
		this.control = control;
	}

	/**
	 * Creates the recovery of an entry host.
	 * @param claims claims of this host
	 * @param inquiries reaches other processes
	 * @param clock source of time
	 * @param control brings answers to the control context
	 * @return the recovery
	 */
	public static ClaimRecovery create(Claims claims, ClaimInquiries inquiries, Clock clock, Executor control) {
		return new ClaimRecovery(claims, inquiries, clock, control);
	}

	/**
	 * Claims a key and, if another claim holds it, recovers it.
	 * @param request what is asked
	 * @return the decision, never {@link ClaimDecision.HeldByOther}
	 */
	public CompletionStage<ClaimDecision> claim(ClaimRequest request) {
		return this.claims.claim(request).thenCompose((decision) -> resolve(request, decision));
	}

	/**
	 * Has one agent fence a claim and waits, until the deadline, while it runs there.
	 * @param process process id of the agent
	 * @param held the claim
	 * @param deadlineMs monotonic time at which to stop asking
	 * @return the agent's last word, {@code CLAIM_NOT_KNOWN} if there is none; the stage
	 * never fails
	 */
	public CompletionStage<ClaimReport> settle(String process, ClaimHolding held, long deadlineMs) {
		CompletableFuture<ClaimReport> result = new CompletableFuture<>();
		fenceUntil(process, held, deadlineMs, result);
		return result;
	}

	private void fenceUntil(String process, ClaimHolding held, long deadlineMs, CompletableFuture<ClaimReport> result) {
		this.inquiries.fence(process, held).whenCompleteAsync((report, failure) -> {
			ClaimReport word = (failure != null) ? ClaimReport.getDefaultInstance() : report;
			boolean asksAgain = failure != null || word.getState() == ClaimState.CLAIM_RUNNING;
			long againMs = this.clock.monotonicMs() + ASK_AGAIN_MS;
			if (!asksAgain || againMs >= deadlineMs) {
				result.complete(word);
				return;
			}
			this.waiting.add(new Waiting(againMs, () -> fenceUntil(process, held, deadlineMs, result)));
		}, this.control);
	}

	/**
	 * Asks again where it is due.
	 */
	public void tick() {
		long nowMs = this.clock.monotonicMs();
		List<Runnable> due = new ArrayList<>();
		for (Iterator<Waiting> each = this.waiting.iterator(); each.hasNext();) {
			Waiting next = each.next();
			if (next.dueMs <= nowMs) {
				each.remove();
				due.add(next.action);
			}
		}
		due.forEach(Runnable::run);
	}

	private CompletionStage<ClaimDecision> resolve(ClaimRequest request, ClaimDecision decision) {
		if (!(decision instanceof ClaimDecision.HeldByOther held)) {
			return CompletableFuture.completedFuture(decision);
		}
		CompletableFuture<ClaimDecision> result = new CompletableFuture<>();
		askHolder(request, held.holding(), result);
		return result;
	}

	private void askHolder(ClaimRequest request, ClaimHolding held, CompletableFuture<ClaimDecision> result) {
		ClaimReport own = this.claims.report(held.claim().getId());
		CompletionStage<ClaimReport> asked = (own.getState() != ClaimState.CLAIM_NOT_KNOWN)
				? CompletableFuture.completedFuture(own) : this.inquiries.askHolder(held.claim());
		asked.whenCompleteAsync((report, failure) -> {
			if (failure != null || report.getState() == ClaimState.CLAIM_NOT_KNOWN) {
				fence(request, held, result);
				return;
			}
			judge(request, held, List.of(report), result);
		}, this.control);
	}

	private void fence(ClaimRequest request, ClaimHolding held, CompletableFuture<ClaimDecision> result) {
		List<CompletableFuture<ClaimReport>> asked = new ArrayList<>();
		for (String process : held.claim().getAgentsList()) {
			asked.add(this.inquiries.fence(process, held)
				.toCompletableFuture()
				.exceptionally((failure) -> ClaimReport.getDefaultInstance()));
		}
		CompletableFuture.allOf(asked.toArray(CompletableFuture[]::new)).whenCompleteAsync((done, failure) -> {
			List<ClaimReport> reports = asked.stream().map(CompletableFuture::join).toList();
			judge(request, held, reports, result);
		}, this.control);
	}

	private void judge(ClaimRequest request, ClaimHolding held, List<ClaimReport> reports,
			CompletableFuture<ClaimDecision> result) {
		for (ClaimReport report : reports) {
			if (report.getState() == ClaimState.CLAIM_DONE) {
				this.claims.outcome(held, report.getOutcome());
				result.complete(new ClaimDecision.AlreadyDone(report.getOutcome()));
				return;
			}
		}
		if (reports.stream().anyMatch((report) -> report.getState() == ClaimState.CLAIM_RUNNING)) {
			askLater(request, held, result);
			return;
		}
		if (reports.stream().anyMatch((report) -> report.getState() != ClaimState.CLAIM_FENCED)) {
			result.complete(new ClaimDecision.Unknown());
			return;
		}
		this.claims.supersede(request, held)
			.thenCompose((decision) -> resolve(request, decision))
			.whenComplete((decision, failure) -> result.complete(decision));
	}

	private void askLater(ClaimRequest request, ClaimHolding held, CompletableFuture<ClaimDecision> result) {
		long againMs = this.clock.monotonicMs() + ASK_AGAIN_MS;
		if (againMs >= request.deadlineMs()) {
			result.complete(new ClaimDecision.Unknown());
			return;
		}
		this.waiting.add(new Waiting(againMs, () -> askHolder(request, held, result)));
	}

	/**
	 * An inquiry to be made later.
	 *
	 * @param dueMs monotonic time at which it is due
	 * @param action makes it
	 */
	private record Waiting(long dueMs, Runnable action) {

	}

}
