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
 * those that an earlier agent left running ({@link OutsideWork}), never exceed the limit
 * at the moment of admission. The limit itself is learnt and falls to the cold capacity
 * when the backend server is cold, says so or behaves so ({@link LearnedLimit}).
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
 * {@link Admission} is to be carried out at once.
 */
public final class AdmissionGate {

	private static final double QUEUE_WAIT_MAX_MS = 400;

	private static final double LEFT_OVER_MIN = 0.05;

	private static final int RESERVED_PART = 16;

	private static final double CONTENTION_MIN = 0.5;

	private static final double CONTENTION_SMOOTHING = 0.05;

	private final Clock clock;

	private final GateLimits limits;

	private final LearnedLimit learned;

	private OutsideWork outside;

	private final FairQueue queue = new FairQueue();

	private final DrainRate drain;

	private final Map<String, Running> running = new HashMap<>();

	private String suspect = "";

	private double contention;

	private boolean up = true;

	private boolean closing;

	private AdmissionGate(GateLimits limits, Clock clock, Random random) {
		this.clock = clock;
		this.limits = limits;
		this.learned = new LearnedLimit(limits);
		this.outside = new OutsideWork(clock.monotonicMs(), limits);
		this.drain = new DrainRate(random);
	}

	/**
	 * Creates the gate of a backend server when the agent starts. Nothing is admitted
	 * until it is known what runs there already.
	 * @param limits what the backend server bears
	 * @param clock source of time
	 * @param random source of the spread of retry times
	 * @return the gate
	 */
	public static AdmissionGate create(GateLimits limits, Clock clock, Random random) {
		return new AdmissionGate(limits, clock, random);
	}

	/**
	 * Decides on a request that arrives.
	 * @param request the request
	 * @return the decision; if it is queued, a later call returns the final one
	 */
	public Admission offer(AdmissionRequest request) {
		long nowMs = this.clock.monotonicMs();
		noticeOverdue(nowMs);
		this.queue.called(request, nowMs);
		noticeContention(request);
		ErrorType reason = obstacle(request, nowMs);
		this.drain.decided(reason != null);
		if (reason != null) {
			return refuse(request, reason, 0);
		}
		if (request.suspect()) {
			this.suspect = request.id();
		}
		boolean overShare = this.queue.overShare(request);
		if (hasPlace(overShare)) {
			this.queue.passThrough(request);
			return start(request, nowMs, 0);
		}
		this.learned.reached();
		this.queue.push(request, nowMs);
		return Admission.queued(request);
	}

	/**
	 * Notes that the first part of an answer came.
	 * @param id id of the dispatch
	 * @return decisions on waiting requests
	 */
	public List<Admission> answered(String id) {
		Running entry = this.running.get(id);
		if (entry != null && !entry.answered) {
			entry.answered = true;
			this.learned.answered(this.clock.monotonicMs() - entry.sinceMs);
		}
		return tick();
	}

	/**
	 * Notes that a request ended at the backend server.
	 * @param id id of the dispatch
	 * @param end how it ended
	 * @return decisions on waiting requests
	 */
	public List<Admission> ended(String id, End end) {
		Running entry = this.running.remove(id);
		if (entry == null) {
			return tick();
		}
		long nowMs = this.clock.monotonicMs();
		this.outside.ownRunning(nowMs, this.running.size());
		this.drain.freed(nowMs, this.queue.size() > 0 || this.running.size() + 1 >= this.learned.limit());
		clearSuspect(id);
		if (end == End.FAILED) {
			this.learned.failed();
		}
		else if (end == End.COMPLETE && !entry.answered) {
			this.learned.answered(nowMs - entry.sinceMs);
		}
		return tick();
	}

	/**
	 * Takes a waiting request out, as its caller has gone.
	 * @param id id of the dispatch
	 * @return true if it waited; it did not run
	 */
	public boolean withdraw(String id) {
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
	public List<Admission> report(EngineReport report) {
		this.outside.report(report);
		this.learned.said(report.cold());
		return tick();
	}

	/**
	 * Notes that the backend server is down: waiting requests are refused, and it is cold
	 * when it comes back.
	 * @return refusals of all waiting requests
	 */
	public List<Admission> down() {
		this.up = false;
		this.learned.turnCold();
		return refuseAll(ErrorType.BACKEND_FAILED);
	}

	/**
	 * Notes that the backend server answers again. It may have been frozen and still run
	 * what was sent before, so nothing is admitted until it is known what it runs.
	 */
	public void up() {
		this.up = true;
		this.outside = new OutsideWork(this.clock.monotonicMs(), this.limits);
	}

	/**
	 * Begins a graceful shutdown: nothing new is taken, what runs or waits goes on.
	 */
	public void close() {
		this.closing = true;
	}

	/**
	 * Decides on waiting requests; to be called at least every 50 ms while any wait.
	 * @return requests to run now, and refusals of those whose deadline passed
	 */
	public List<Admission> tick() {
		long nowMs = this.clock.monotonicMs();
		noticeOverdue(nowMs);
		List<Admission> decisions = new ArrayList<>();
		FairQueue.Waiting expired = this.queue.pollExpired(nowMs);
		while (expired != null) {
			clearSuspect(expired.request.id());
			decisions.add(refuse(expired.request, ErrorType.DEADLINE, nowMs - expired.sinceMs));
			expired = this.queue.pollExpired(nowMs);
		}
		while (this.queue.size() > 0 && hasPlace(this.queue.firstOverShare(nowMs))) {
			FairQueue.Waiting next = this.queue.poll(nowMs);
			decisions.add(start(next.request, nowMs, nowMs - next.sinceMs));
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
	public int running() {
		return this.running.size() + this.outside.bound();
	}

	/**
	 * Returns how many requests wait.
	 * @return the length of the queue
	 */
	public int queued() {
		return this.queue.size();
	}

	/**
	 * Returns the most requests at once that are admitted now.
	 * @return the limit; 0 while nothing is admitted
	 */
	public int limit() {
		return (this.up && !this.closing && this.outside.known(this.clock.monotonicMs())) ? this.learned.limit() : 0;
	}

	/**
	 * Tells whether the backend server is taken to be in cold start.
	 * @return true if the cold capacity holds
	 */
	public boolean cold() {
		return this.learned.cold();
	}

	private ErrorType obstacle(AdmissionRequest request, long nowMs) {
		if (!this.up) {
			return ErrorType.BACKEND_FAILED;
		}
		if (this.closing) {
			return ErrorType.NOT_SERVING;
		}
		if (!this.outside.known(nowMs) || request.suspect() && !this.suspect.isEmpty()) {
			return ErrorType.OVERLOADED;
		}
		if (request.deadlineMs() <= nowMs) {
			return ErrorType.DEADLINE;
		}
		return hasPlace(this.queue.overShare(request)) ? null : obstacleToWaiting(request, nowMs);
	}

	private ErrorType obstacleToWaiting(AdmissionRequest request, long nowMs) {
		boolean overShare = this.queue.overShare(request);
		int ahead = this.queue.ahead(request);
		double waitMs = this.drain.waitMs(ahead);
		if (overShare) {
			waitMs /= Math.max(LEFT_OVER_MIN, 1 - this.queue.underShare());
		}
		if (request.deadlineMs() != AdmissionRequest.NO_DEADLINE && nowMs + waitMs > request.deadlineMs()) {
			return ErrorType.DEADLINE;
		}
		boolean full = overShare ? this.queue.size() >= this.limits.queueLimit() / 2
				: ahead >= this.limits.queueLimit();
		if (full || waitMs > QUEUE_WAIT_MAX_MS) {
			return overShare ? ErrorType.OVER_SHARE : ErrorType.OVERLOADED;
		}
		return null;
	}

	private boolean hasPlace(boolean overShare) {
		int limit = this.learned.limit();
		if (overShare && this.contention > CONTENTION_MIN) {
			limit -= limit / RESERVED_PART;
		}
		return this.up && this.outside.known(this.clock.monotonicMs()) && running() < limit;
	}

	private void noticeContention(AdmissionRequest request) {
		if (!this.queue.overShare(request)) {
			int blocked = hasPlace(false) ? 0 : 1;
			this.contention += CONTENTION_SMOOTHING * (blocked - this.contention);
		}
	}

	private Admission start(AdmissionRequest request, long nowMs, long waitedMs) {
		this.running.put(request.id(), new Running(nowMs));
		this.outside.ownRunning(nowMs, this.running.size());
		if (running() >= this.learned.limit()) {
			this.learned.reached();
		}
		return Admission.run(request, waitedMs);
	}

	private Admission refuse(AdmissionRequest request, ErrorType reason, long waitedMs) {
		return Admission.refused(request, reason, this.drain.retryAfterMs(this.queue.size()), waitedMs);
	}

	private List<Admission> refuseAll(ErrorType reason) {
		long nowMs = this.clock.monotonicMs();
		List<Admission> decisions = new ArrayList<>();
		for (FairQueue.Waiting next = this.queue.poll(nowMs); next != null; next = this.queue.poll(nowMs)) {
			clearSuspect(next.request.id());
			decisions.add(refuse(next.request, reason, nowMs - next.sinceMs));
		}
		return decisions;
	}

	private void noticeOverdue(long nowMs) {
		int overdue = 0;
		for (Running entry : this.running.values()) {
			if (!entry.answered && this.learned.beyondCold(nowMs - entry.sinceMs)) {
				overdue++;
			}
		}
		if (overdue > 1) {
			this.learned.turnCold();
		}
	}

	private void clearSuspect(String id) {
		if (this.suspect.equals(id)) {
			this.suspect = "";
		}
	}

	/**
	 * How a request ended at the backend server.
	 */
	public enum End {

		/** The whole answer came. */
		COMPLETE,
		/** The caller cancelled it and the backend server stopped it. */
		CANCELLED,
		/** The backend server failed it. */
		FAILED

	}

	private static final class Running {

		private final long sinceMs;

		private boolean answered;

		private Running(long sinceMs) {
			this.sinceMs = sinceMs;
		}

	}

}
