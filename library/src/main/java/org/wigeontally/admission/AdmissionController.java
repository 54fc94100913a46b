package org.wigeontally.admission;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;

import org.wigeontally.errors.ErrorType;
import org.wigeontally.misc.Clock;

/**
 * The only way to a backend server: decides which requests run, wait or are refused.
 *
 * <p>
 * Many entries send with views that lag, so no bound that they keep can be exact. All
 * work for a backend server passes the agent of its host, and here the bound is a local
 * count: requests that this agent sent and that have not ended, plus an upper bound of
 * those that an earlier agent left running ({@link InheritedRequests}), never exceed the
 * limit at the moment of admission. The limit itself is learnt and falls to the cold
 * capacity when the backend server is cold, says so or behaves so
 * ({@link AdaptiveConcurrencyLimit}).
 *
 * <p>
 * When all places are taken a request waits in a short queue ({@link FairQueue}) if it is
 * likely to leave it in time, or is refused at once. What is queued is not pushed out
 * later: a refusal after waiting happens only if the deadline passes or the backend
 * server goes down. Organisations over their share wait behind the others, so they are
 * let in only if what the others leave over drains the queue in time, and into half of
 * the queue.
 *
 * <p>
 * A request whose content is suspected of bringing backend servers down
 * ({@link AdmissionRequest#suspect()}) runs beside no other suspect, so that a second
 * loss names exactly one.
 *
 * <p>
 * All methods are called from one thread, the traffic context of the agent. Each returned
 * {@link AdmissionDecision} is to be carried out at once.
 */
public final class AdmissionController {

	private static final double MAX_QUEUE_WAIT_MS = 400;

	private static final double MIN_SPARE_SHARE = 0.05;

	private static final int RESERVED_SLOT_DIVISOR = 16;

	private static final double CONTENTION_THRESHOLD = 0.5;

	private static final double CONTENTION_SMOOTHING = 0.05;

	private final Clock clock;

	private final AdmissionLimits limits;

	private final AdaptiveConcurrencyLimit concurrencyLimit;

	private InheritedRequests inherited;

	private final FairQueue queue = new FairQueue();

	private final QueueWaitEstimator waitEstimator;

	private final Map<String, RunningRequest> running = new HashMap<>();

	private String activeSuspectId = "";

	private double contention;

	private boolean backendUp = true;

	private boolean draining;

	private AdmissionController(AdmissionLimits limits, Clock clock, Random random) {
		this.clock = clock;
		this.limits = limits;
		this.concurrencyLimit = new AdaptiveConcurrencyLimit(limits);
		this.inherited = new InheritedRequests(clock.monotonicMs(), limits);
		this.waitEstimator = new QueueWaitEstimator(random);
	}

	/**
	 * Creates the gate of a backend server when the agent starts. Nothing is admitted
	 * until it is known what runs there already.
	 * @param limits what the backend server bears
	 * @param clock source of time
	 * @param random source of the spread of retry times
	 * @return the gate
	 */
	public static AdmissionController create(AdmissionLimits limits, Clock clock, Random random) {
		return new AdmissionController(limits, clock, random);
	}

	/**
	 * Decides on a request that arrives.
	 * @param request the request
	 * @return the decision; if it is queued, a later call returns the final one
	 */
	public AdmissionDecision offer(AdmissionRequest request) {
		long nowMs = this.clock.monotonicMs();
		detectOverdueRequests(nowMs);
		this.queue.recordArrival(request, nowMs);
		updateContention(request);
		ErrorType reason = refusalReason(request, nowMs);
		this.waitEstimator.recordDecision(reason != null);
		if (reason != null) {
			return refuse(request, reason, 0);
		}
		if (request.suspect()) {
			this.activeSuspectId = request.id();
		}
		boolean overShare = this.queue.isOverShare(request);
		if (hasFreeSlot(overShare)) {
			this.queue.recordImmediateStart(request);
			return start(request, nowMs, 0);
		}
		this.concurrencyLimit.recordLimitReached();
		this.queue.enqueue(request, nowMs);
		return AdmissionDecision.queued(request);
	}

	/**
	 * Notes that the first part of an answer came.
	 * @param id id of the dispatch
	 * @return decisions on waiting requests
	 */
	public List<AdmissionDecision> responseStarted(String id) {
		RunningRequest entry = this.running.get(id);
		if (entry != null && !entry.responseStarted) {
			entry.responseStarted = true;
			this.concurrencyLimit.recordResponseTime(this.clock.monotonicMs() - entry.startedMs);
		}
		return processQueue();
	}

	/**
	 * Notes that a request ended at the backend server.
	 * @param id id of the dispatch
	 * @param end how it ended
	 * @return decisions on waiting requests
	 */
	public List<AdmissionDecision> requestEnded(String id, CompletionStatus status) {
		RunningRequest entry = this.running.remove(id);
		if (entry == null) {
			return processQueue();
		}
		long nowMs = this.clock.monotonicMs();
		this.inherited.recordOwnRunning(nowMs, this.running.size());
		this.waitEstimator.recordSlotReleased(nowMs,
				this.queue.size() > 0 || this.running.size() + 1 >= this.concurrencyLimit.limit());
		clearSuspect(id);
		if (status == CompletionStatus.FAILED) {
			this.concurrencyLimit.recordFailure();
		}
		else if (status == CompletionStatus.COMPLETED && !entry.responseStarted) {
			this.concurrencyLimit.recordResponseTime(nowMs - entry.startedMs);
		}
		return processQueue();
	}

	/**
	 * Takes a waiting request out, as its caller has gone.
	 * @param id id of the dispatch
	 * @return true if it waited; it did not run
	 */
	public boolean cancelQueued(String id) {
		if (this.queue.remove(id) == null) {
			return false;
		}
		clearSuspect(id);
		return true;
	}

	/**
	 * Takes the backend server's word on itself.
	 * @param report the report
	 * @return decisions on waiting requests
	 */
	public List<AdmissionDecision> applyReport(EngineReport report) {
		this.inherited.applyReport(report);
		this.concurrencyLimit.applyReportedState(report.warmupState());
		return processQueue();
	}

	/**
	 * Notes that the backend server is down: waiting requests are refused, and it is cold
	 * when it comes back.
	 * @return refusals of all waiting requests
	 */
	public List<AdmissionDecision> backendDown() {
		this.backendUp = false;
		this.concurrencyLimit.resetToColdCapacity();
		return refuseAll(ErrorType.BACKEND_FAILED);
	}

	/**
	 * Notes that the backend server answers again. It may have been frozen and still run
	 * what was sent before, so nothing is admitted until it is known what it runs.
	 */
	public void backendUp() {
		this.backendUp = true;
		this.inherited = new InheritedRequests(this.clock.monotonicMs(), this.limits);
	}

	/**
	 * Begins a graceful shutdown: nothing new is taken, what runs or waits goes on.
	 */
	public void startDraining() {
		this.draining = true;
	}

	/**
	 * Decides on waiting requests; to be called at least every 50 ms while any wait.
	 * @return requests to run now, and refusals of those whose deadline passed
	 */
	public List<AdmissionDecision> processQueue() {
		long nowMs = this.clock.monotonicMs();
		detectOverdueRequests(nowMs);
		List<AdmissionDecision> decisions = new ArrayList<>();
		FairQueue.QueuedRequest expired = this.queue.pollExpired(nowMs);
		while (expired != null) {
			clearSuspect(expired.request.id());
			decisions.add(refuse(expired.request, ErrorType.DEADLINE, nowMs - expired.enqueuedMs));
			expired = this.queue.pollExpired(nowMs);
		}
		while (this.queue.size() > 0 && hasFreeSlot(this.queue.isNextOverShare(nowMs))) {
			FairQueue.QueuedRequest next = this.queue.poll(nowMs);
			decisions.add(start(next.request, nowMs, nowMs - next.enqueuedMs));
		}
		return decisions;
	}

	/**
	 * Returns ids of the requests that run at the backend server.
	 * @return a copy
	 */
	public Set<String> runningIds() {
		return Set.copyOf(this.running.keySet());
	}

	/**
	 * Returns how many requests run, those of an earlier agent included.
	 * @return an upper bound
	 */
	public int runningCount() {
		return this.running.size() + this.inherited.upperBound();
	}

	/**
	 * Returns how many requests wait.
	 * @return the length of the queue
	 */
	public int queuedCount() {
		return this.queue.size();
	}

	/**
	 * Returns the most requests at once that are admitted now.
	 * @return the limit; 0 while nothing is admitted
	 */
	public int limit() {
		return (this.backendUp && !this.draining && this.inherited.isKnown(this.clock.monotonicMs()))
				? this.concurrencyLimit.limit() : 0;
	}

	/**
	 * Tells whether the backend server is taken to be in cold start.
	 * @return true if the cold capacity holds
	 */
	public boolean isCold() {
		return this.concurrencyLimit.isCold();
	}

	private ErrorType refusalReason(AdmissionRequest request, long nowMs) {
		if (!this.backendUp) {
			return ErrorType.BACKEND_FAILED;
		}
		if (this.draining) {
			return ErrorType.NOT_SERVING;
		}
		if (!this.inherited.isKnown(nowMs) || request.suspect() && !this.activeSuspectId.isEmpty()) {
			return ErrorType.OVERLOADED;
		}
		if (request.deadlineMs() <= nowMs) {
			return ErrorType.DEADLINE;
		}
		return hasFreeSlot(this.queue.isOverShare(request)) ? null : queueRefusalReason(request, nowMs);
	}

	private ErrorType queueRefusalReason(AdmissionRequest request, long nowMs) {
		boolean overShare = this.queue.isOverShare(request);
		int ahead = this.queue.countAhead(request);
		double waitMs = this.waitEstimator.expectedWaitMs(ahead);
		if (overShare) {
			waitMs /= Math.max(MIN_SPARE_SHARE, 1 - this.queue.withinShareFraction());
		}
		if (request.deadlineMs() != AdmissionRequest.NO_DEADLINE && nowMs + waitMs > request.deadlineMs()) {
			return ErrorType.DEADLINE;
		}
		boolean full = overShare ? this.queue.size() >= this.limits.queueLimit() / 2
				: ahead >= this.limits.queueLimit();
		if (full || waitMs > MAX_QUEUE_WAIT_MS) {
			return overShare ? ErrorType.OVER_SHARE : ErrorType.OVERLOADED;
		}
		return null;
	}

	private boolean hasFreeSlot(boolean overShare) {
		int limit = this.concurrencyLimit.limit();
		if (overShare && this.contention > CONTENTION_THRESHOLD) {
			limit -= limit / RESERVED_SLOT_DIVISOR;
		}
		return this.backendUp && this.inherited.isKnown(this.clock.monotonicMs()) && runningCount() < limit;
	}

	private void updateContention(AdmissionRequest request) {
		if (!this.queue.isOverShare(request)) {
			int blocked = hasFreeSlot(false) ? 0 : 1;
			this.contention += CONTENTION_SMOOTHING * (blocked - this.contention);
		}
	}

	private AdmissionDecision start(AdmissionRequest request, long nowMs, long waitedMs) {
		this.running.put(request.id(), new RunningRequest(nowMs));
		this.inherited.recordOwnRunning(nowMs, this.running.size());
		if (runningCount() >= this.concurrencyLimit.limit()) {
			this.concurrencyLimit.recordLimitReached();
		}
		return AdmissionDecision.run(request, waitedMs);
	}

	private AdmissionDecision refuse(AdmissionRequest request, ErrorType reason, long waitedMs) {
		return AdmissionDecision.refused(request, reason, this.waitEstimator.retryAfterMs(this.queue.size()), waitedMs);
	}

	private List<AdmissionDecision> refuseAll(ErrorType reason) {
		long nowMs = this.clock.monotonicMs();
		List<AdmissionDecision> decisions = new ArrayList<>();
		for (FairQueue.QueuedRequest next = this.queue.poll(nowMs); next != null; next = this.queue.poll(nowMs)) {
			clearSuspect(next.request.id());
			decisions.add(refuse(next.request, reason, nowMs - next.enqueuedMs));
		}
		return decisions;
	}

	private void detectOverdueRequests(long nowMs) {
		int overdue = 0;
		for (RunningRequest entry : this.running.values()) {
			if (!entry.responseStarted && this.concurrencyLimit.exceedsColdThreshold(nowMs - entry.startedMs)) {
				overdue++;
			}
		}
		if (overdue > 1) {
			this.concurrencyLimit.resetToColdCapacity();
		}
	}

	private void clearSuspect(String id) {
		if (this.activeSuspectId.equals(id)) {
			this.activeSuspectId = "";
		}
	}

	/**
	 * How a request ended at the backend server.
	 */
	public enum CompletionStatus {

		/** The whole answer came. */
		COMPLETED,
		/** The caller cancelled it and the backend server stopped it. */
		CANCELLED,
		/** The backend server failed it. */
		FAILED

	}

	private static final class RunningRequest {

		private final long startedMs;

		private boolean responseStarted;

		private RunningRequest(long sinceMs) {
			this.startedMs = sinceMs;
		}

	}

}
