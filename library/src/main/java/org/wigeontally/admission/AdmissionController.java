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
 * Admission controller of a backend server: decides which requests are run, queued or
 * refused.
 *
 * <p>
 * Many entries send requests based on stale views, so a limit that they enforced would
 * not be exact. All requests to a backend server pass through the agent of its host,
 * where the count is local. The number of requests that this agent sent and that have not
 * ended, plus an upper bound of the requests left running by a previous agent process
 * ({@link InheritedRequests}), never exceeds the limit at the moment of admission. The
 * limit is adaptive and drops to the cold capacity if the backend server is cold, reports
 * a cold start or responds as slowly as in a cold start
 * ({@link AdaptiveConcurrencyLimit}).
 *
 * <p>
 * When no slot is free, a request is added to a short queue ({@link FairQueue}) if it is
 * likely to leave the queue in time; otherwise it is refused at once. A queued request is
 * not evicted by later arrivals: it is refused only if its deadline passes or the backend
 * server goes down. Requests of organisations over their share wait behind the others.
 * They are therefore queued only if the capacity that the others leave unused drains the
 * queue in time, and only up to half of the queue limit. While most arriving requests of
 * organisations within their share find no free slot, one slot in
 * {@link #RESERVED_SLOT_DIVISOR} is reserved for them.
 *
 * <p>
 * A request whose content is suspected of bringing backend servers down
 * ({@link AdmissionRequest#suspect()}) never runs concurrently with another suspect, so
 * that a second loss identifies a single content.
 *
 * <p>
 * Not thread-safe: the agent serialises all calls with a lock, because requests arrive on
 * several event loops. The caller must carry out each returned {@link AdmissionDecision}
 * immediately.
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
	 * Creates the controller of a backend server when the agent starts. Nothing is
	 * admitted until the number of requests that already run there is known.
	 * @param limits admission limits of the backend server
	 * @param clock source of time
	 * @param random source of the jitter of retry delays
	 * @return the controller
	 */
	public static AdmissionController create(AdmissionLimits limits, Clock clock, Random random) {
		return new AdmissionController(limits, clock, random);
	}

	/**
	 * Decides on an arriving request.
	 * @param request the request
	 * @return the decision; if the request is queued, a later call returns the final one
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
	 * Records that the first part of a response was received.
	 * @param id id of the dispatch
	 * @return decisions on queued requests
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
	 * Records that a request ended at the backend server.
	 * @param id id of the dispatch
	 * @param status how the request ended
	 * @return decisions on queued requests
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
	 * Removes a request from the queue because its caller disconnected.
	 * @param id id of the dispatch
	 * @return true if the request was queued, which means that it did not run
	 */
	public boolean cancelQueued(String id) {
		if (this.queue.remove(id) == null) {
			return false;
		}
		clearSuspect(id);
		return true;
	}

	/**
	 * Applies a status report of the backend server.
	 * @param report the report
	 * @return decisions on queued requests
	 */
	public List<AdmissionDecision> applyReport(EngineReport report) {
		this.inherited.applyReport(report);
		this.concurrencyLimit.applyReportedState(report.warmupState());
		return processQueue();
	}

	/**
	 * Records that the backend server is down. All queued requests are refused, and the
	 * backend server is treated as cold when it comes back.
	 * @return refusals of all queued requests
	 */
	public List<AdmissionDecision> backendDown() {
		this.backendUp = false;
		this.concurrencyLimit.resetToColdCapacity();
		return refuseAll(ErrorType.BACKEND_FAILED);
	}

	/**
	 * Records that the backend server responds again. It may have been frozen and still
	 * run requests that were sent before, so nothing is admitted until the number of its
	 * running requests is known.
	 */
	public void backendUp() {
		this.backendUp = true;
		this.inherited = new InheritedRequests(this.clock.monotonicMs(), this.limits);
	}

	/**
	 * Starts a graceful shutdown: new requests are refused, running and queued requests
	 * continue.
	 */
	public void startDraining() {
		this.draining = true;
	}

	/**
	 * Decides on queued requests. Must be called at least every 50 ms while requests are
	 * queued.
	 * @return requests to run now, and refusals of requests whose deadline passed
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
	 * Returns the ids of the requests that this agent is running at the backend server.
	 * @return a copy
	 */
	public Set<String> runningIds() {
		return Set.copyOf(this.running.keySet());
	}

	/**
	 * Returns the number of running requests, including those of a previous agent
	 * process.
	 * @return an upper bound
	 */
	public int runningCount() {
		return this.running.size() + this.inherited.upperBound();
	}

	/**
	 * Returns the number of queued requests.
	 * @return the queue length
	 */
	public int queuedCount() {
		return this.queue.size();
	}

	/**
	 * Returns the current maximum number of concurrent requests.
	 * @return the limit; 0 while nothing is admitted
	 */
	public int limit() {
		return (this.backendUp && !this.draining && this.inherited.isKnown(this.clock.monotonicMs()))
				? this.concurrencyLimit.limit() : 0;
	}

	/**
	 * Returns whether the backend server is considered to be in cold start.
	 * @return true if the cold capacity applies
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

		/** The whole response was received. */
		COMPLETED,
		/** The caller cancelled the request and the backend server stopped it. */
		CANCELLED,
		/** The backend server failed to process the request. */
		FAILED

	}

	private static final class RunningRequest {

		private final long startedMs;

		private boolean responseStarted;

		private RunningRequest(long startedMs) {
			this.startedMs = startedMs;
		}

	}

}
