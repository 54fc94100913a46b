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
 * The holder of the claim is asked first, because it knows whether it dispatched the
 * request: it answers with the outcome, that the request is still running, or that it
 * will never dispatch it. If the holder cannot be reached or no longer knows the claim,
 * the agents that the claim names are asked. Each of them rejects the claim from then on
 * unless it already let it through. Only if all of them have fenced the claim is it
 * certain that the request did not run and never will; the claim is then released and the
 * key claimed in the same append. If one agent ran the request, its outcome is used. If
 * one agent does not answer or was replaced, the outcome is unknown.
 * <p>
 * Used only on the control context; the owner must call {@link #tick} every few
 * milliseconds.
 */
public final class ClaimRecovery {

	static final long RETRY_INTERVAL_MS = 50;

	/**
	 * Time for which a holder that cannot be asked is asked again before the claim is
	 * fenced. A holder that has just started is not known everywhere yet, and fencing
	 * would refuse a request that it is about to send.
	 */
	static final long HOLDER_PATIENCE_MS = 200;

	private final Claims claims;

	private final ClaimInquiries inquiries;

	private final Clock clock;

	private final Executor controlExecutor;

	private final List<ScheduledInquiry> scheduledInquiries = new ArrayList<>();

	private ClaimRecovery(Claims claims, ClaimInquiries inquiries, Clock clock, Executor controlExecutor) {
		this.claims = claims;
		this.inquiries = inquiries;
		this.clock = clock;
		this.controlExecutor = controlExecutor;
	}

	/**
	 * Creates the claim recovery of an entry host.
	 * @param claims claims of this host
	 * @param inquiries asks other processes about claims
	 * @param clock source of time
	 * @param controlExecutor runs tasks on the control context
	 * @return the recovery
	 */
	public static ClaimRecovery create(Claims claims, ClaimInquiries inquiries, Clock clock, Executor controlExecutor) {
		return new ClaimRecovery(claims, inquiries, clock, controlExecutor);
	}

	/**
	 * Claims a key and, if another claim holds it, recovers the key from that claim.
	 * @param request the request for a claim
	 * @return the decision, never {@link ClaimDecision.HeldByOther}
	 */
	public CompletionStage<ClaimDecision> claimOrRecover(ClaimRequest request) {
		return this.claims.claim(request).thenCompose((decision) -> recoverIfHeld(request, decision));
	}

	/**
	 * Fences a claim at one agent. If the request is running there, or the agent does not
	 * answer, asks again until the deadline.
	 * @param processId process id of the agent
	 * @param held the claim
	 * @param deadlineMs monotonic time after which to stop asking
	 * @return the report from the last inquiry, {@code CLAIM_NOT_KNOWN} if that inquiry
	 * failed; the stage never fails
	 */
	public CompletionStage<ClaimReport> fenceAndAwaitOutcome(String processId, ClaimGrant held, long deadlineMs) {
		CompletableFuture<ClaimReport> result = new CompletableFuture<>();
		fenceUntilDeadline(processId, held, deadlineMs, result);
		return result;
	}

	private void fenceUntilDeadline(String processId, ClaimGrant held, long deadlineMs,
			CompletableFuture<ClaimReport> result) {
		this.inquiries.fence(processId, held).whenCompleteAsync((report, failure) -> {
			ClaimReport lastReport = (failure != null) ? ClaimReport.getDefaultInstance() : report;
			boolean retry = failure != null || lastReport.getState() == ClaimState.CLAIM_RUNNING;
			long retryAtMs = this.clock.monotonicMs() + RETRY_INTERVAL_MS;
			if (!retry || retryAtMs >= deadlineMs) {
				result.complete(lastReport);
				return;
			}
			this.scheduledInquiries
				.add(new ScheduledInquiry(retryAtMs, () -> fenceUntilDeadline(processId, held, deadlineMs, result)));
		}, this.controlExecutor);
	}

	/**
	 * Sends the inquiries that are due.
	 */
	public void tick() {
		long nowMs = this.clock.monotonicMs();
		List<Runnable> due = new ArrayList<>();
		for (Iterator<ScheduledInquiry> remaining = this.scheduledInquiries.iterator(); remaining.hasNext();) {
			ScheduledInquiry next = remaining.next();
			if (next.dueMs <= nowMs) {
				remaining.remove();
				due.add(next.action);
			}
		}
		due.forEach(Runnable::run);
	}

	private CompletionStage<ClaimDecision> recoverIfHeld(ClaimRequest request, ClaimDecision decision) {
		if (!(decision instanceof ClaimDecision.HeldByOther held)) {
			return CompletableFuture.completedFuture(decision);
		}
		CompletableFuture<ClaimDecision> result = new CompletableFuture<>();
		askHolder(request, held.grant(), this.clock.monotonicMs() + HOLDER_PATIENCE_MS, result);
		return result;
	}

	private void askHolder(ClaimRequest request, ClaimGrant held, long patientUntilMs,
			CompletableFuture<ClaimDecision> result) {
		ClaimReport localReport = this.claims.report(held.claim().getId());
		CompletionStage<ClaimReport> holderReport = (localReport.getState() != ClaimState.CLAIM_NOT_KNOWN)
				? CompletableFuture.completedFuture(localReport) : this.inquiries.askHolder(held.claim());
		holderReport.whenCompleteAsync((report, failure) -> {
			long retryAtMs = this.clock.monotonicMs() + RETRY_INTERVAL_MS;
			if (failure != null && retryAtMs <= patientUntilMs && retryAtMs < request.deadlineMs()) {
				scheduleRetry(request, held, patientUntilMs, result);
				return;
			}
			if (failure != null || report.getState() == ClaimState.CLAIM_NOT_KNOWN) {
				fenceOnAllAgents(request, held, result);
				return;
			}
			decideFromReports(request, held, List.of(report), result);
		}, this.controlExecutor);
	}

	private void fenceOnAllAgents(ClaimRequest request, ClaimGrant held, CompletableFuture<ClaimDecision> result) {
		List<CompletableFuture<ClaimReport>> replies = new ArrayList<>();
		for (String processId : held.claim().getAgentsList()) {
			replies.add(this.inquiries.fence(processId, held)
				.toCompletableFuture()
				.exceptionally((failure) -> ClaimReport.getDefaultInstance()));
		}
		CompletableFuture.allOf(replies.toArray(CompletableFuture[]::new)).whenCompleteAsync((done, failure) -> {
			List<ClaimReport> reports = replies.stream().map(CompletableFuture::join).toList();
			decideFromReports(request, held, reports, result);
		}, this.controlExecutor);
	}

	private void decideFromReports(ClaimRequest request, ClaimGrant held, List<ClaimReport> reports,
			CompletableFuture<ClaimDecision> result) {
		for (ClaimReport report : reports) {
			if (report.getState() == ClaimState.CLAIM_DONE) {
				this.claims.recordOutcome(held, report.getOutcome());
				result.complete(new ClaimDecision.AlreadyDone(report.getOutcome()));
				return;
			}
		}
		if (reports.stream().anyMatch((report) -> report.getState() == ClaimState.CLAIM_RUNNING)) {
			scheduleRetry(request, held, this.clock.monotonicMs() + HOLDER_PATIENCE_MS, result);
			return;
		}
		if (reports.stream().anyMatch((report) -> report.getState() != ClaimState.CLAIM_FENCED)) {
			result.complete(new ClaimDecision.OutcomeUnknown());
			return;
		}
		this.claims.releaseAndClaim(request, held)
			.thenCompose((decision) -> recoverIfHeld(request, decision))
			.whenComplete((decision, failure) -> result.complete(decision));
	}

	private void scheduleRetry(ClaimRequest request, ClaimGrant held, long patientUntilMs,
			CompletableFuture<ClaimDecision> result) {
		long retryAtMs = this.clock.monotonicMs() + RETRY_INTERVAL_MS;
		if (retryAtMs >= request.deadlineMs()) {
			result.complete(new ClaimDecision.OutcomeUnknown());
			return;
		}
		this.scheduledInquiries
			.add(new ScheduledInquiry(retryAtMs, () -> askHolder(request, held, patientUntilMs, result)));
	}

	/**
	 * An inquiry to be sent later.
	 *
	 * @param dueMs monotonic time at which it is due
	 * @param action sends the inquiry
	 */
	private record ScheduledInquiry(long dueMs, Runnable action) {

	}

}
