package org.wigeontally.gateway;

import java.util.IdentityHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;

import org.wigeontally.eventlog.LogEvent;
import org.wigeontally.placement.EngineProfile;
import org.wigeontally.queueing.QueuePolicy;
import org.wigeontally.queueing.RequestQueue;
import org.wigeontally.queueing.ReturnTime;
import org.wigeontally.queueing.WaitDecision;
import org.wigeontally.queueing.WaitingRequest;

/**
 * The requests of one service that wait for a slot of an engine. They are tried again
 * when a slot may be free and when the time of one is over. Runs on the event loop.
 */
final class ServiceQueue {

	private static final int NO_TIMER = -1;

	/**
	 * Time after which requests are looked at again if nothing happens meanwhile, because
	 * their chance decreases. About an eighth of the shortest targets, for which a caller
	 * can be held without harm.
	 */
	private static final long CHECK_INTERVAL_MS = 50;

	private final GatewayContext context;

	private final RequestPlacer placer;

	private final QueueMetrics metrics;

	private final String service;

	private final QueuePolicy policy = QueuePolicy.create();

	private final RequestQueue queue = RequestQueue.create(this.policy);

	private final ReturnTime returnTime;

	private final Map<PlacementInquiry, Wait> waits = new IdentityHashMap<>();

	// The request whose turn it is; null while none is tried.
	private Wait trying;

	private boolean waking;

	private boolean wakeScheduled;

	private long timer = NO_TIMER;

	private long timerAtMs;

	ServiceQueue(GatewayContext context, RequestPlacer placer, QueueMetrics metrics, String service) {
		this.context = context;
		this.placer = placer;
		this.metrics = metrics;
		this.service = service;
		this.returnTime = ReturnTime.create(this.policy, context.random());
	}

	boolean isEmpty() {
		return this.waits.isEmpty();
	}

	/**
	 * Returns whether it is the turn of a request that waits.
	 * @param inquiry the request
	 * @return true if {@link #placeWaiting} decides on it
	 */
	boolean isTrying(PlacementInquiry inquiry) {
		return this.trying != null && this.trying.inquiry == inquiry;
	}

	/**
	 * Places a request that does not wait, or lets it wait.
	 * @param inquiry the request
	 * @param engine profile of the engines
	 * @return the decision
	 */
	Placement place(PlacementInquiry inquiry, EngineProfile engine) {
		if (!inquiry.mayWait()) {
			return placeNow(inquiry);
		}
		long nowMs = this.context.nowMs();
		CallerRequest request = inquiry.request();
		this.returnTime.recordArrival(request.priority(), nowMs);
		// Free slots go to those that wait, unless they cannot use them.
		wake();
		WaitingRequest facts = WaitingRequest.of(request.organisationName(), request.priority(), request.engineSet(),
				request.receivedAtMs(), request.route().targetMs(), nowMs + inquiry.targetLeftMs(),
				engine.admittedFirstEventMs(request.promptTokens(engine.meanPromptTokens())));
		Placement placement = placeNow(inquiry);
		if (placement instanceof Placement.NotPlaced refusal && refusal.reason().equals(RequestPlacer.ENGINES_FULL)) {
			return offer(new Wait(inquiry, facts, nowMs));
		}
		return placement;
	}

	private Placement placeNow(PlacementInquiry inquiry) {
		Placement placement = this.placer.place(inquiry.request(), inquiry.triedBackendIds(), inquiry.targetLeftMs(),
				inquiry.deadlineLeftMs());
		if (placement instanceof Placement.Placed) {
			this.policy.recordPlacement(inquiry.request().priority(), this.context.nowMs());
		}
		return placement;
	}

	private Placement offer(Wait wait) {
		WaitDecision decision = this.queue.offer(wait.facts, wait, wait.sinceMs);
		wait.reason = decision.reason();
		if (!decision.isWait()) {
			logNotPlaced(wait, decision);
			return refusal(wait, decision.reason());
		}
		this.waits.put(wait.inquiry, wait);
		this.context.log()
			.write(LogEvent.REQUEST_WAITS, "id", wait.id(), "service", this.service, "rank", wait.facts.rank(),
					"reason", decision.reason().label(), "chance", percent(decision.chance()), "slot-interval-ms",
					slotIntervalMs(wait), "left-ms", wait.facts.latestPlacementMs() - wait.sinceMs, "until-ms",
					decision.untilMs() - wait.sinceMs, "waiting", this.waits.size());
		changed();
		return new Placement.Waits();
	}

	private void logNotPlaced(Wait wait, WaitDecision decision) {
		this.context.log()
			.write(LogEvent.REQUEST_NOT_PLACED, "id", wait.id(), "service", this.service, "rank", wait.facts.rank(),
					"wait", decision.reason().label(), "chance", percent(decision.chance()), "slot-interval-ms",
					slotIntervalMs(wait), "left-ms", wait.facts.latestPlacementMs() - wait.sinceMs, "waiting",
					this.waits.size());
	}

	private static double percent(double chance) {
		return Math.round(100 * chance) / 100.0;
	}

	private long slotIntervalMs(Wait wait) {
		return Math.round(this.policy.slotIntervalMs(wait.facts.rank(), this.context.nowMs()));
	}

	private Placement.NotPlaced refusal(Wait wait, WaitDecision.Reason reason) {
		this.metrics.recordRefusal(this.service, wait.facts.rank(), reason);
		return new Placement.NotPlaced(RequestPlacer.ENGINES_FULL,
				(remainingMs) -> this.returnTime.seconds(wait.facts, remainingMs, this.context.nowMs()));
	}

	/**
	 * Decides on the request whose turn it is.
	 * @param inquiry the request
	 * @return the decision; it goes on waiting if it is not placed
	 */
	Placement placeWaiting(PlacementInquiry inquiry) {
		Optional<Placement.Placed> placed = this.placer.placeWaiting(inquiry.request(), inquiry.triedBackendIds(),
				inquiry.targetLeftMs(), inquiry.deadlineLeftMs());
		if (placed.isEmpty()) {
			return new Placement.Waits();
		}
		this.policy.recordPlacement(inquiry.request().priority(), this.context.nowMs());
		this.trying.placed = true;
		ended(this.trying, "placed", this.trying.reason);
		// Whatever becomes of the attempt, the request does not wait in this turn.
		this.trying = null;
		return placed.get();
	}

	/**
	 * Ends the wait of a request that has ended. Nothing happens if it does not wait.
	 * @param inquiry the request
	 */
	void leave(PlacementInquiry inquiry) {
		Wait wait = this.waits.get(inquiry);
		if (wait != null) {
			this.queue.remove(wait);
			ended(wait, "ended", wait.reason);
			changed();
		}
	}

	private void ended(Wait wait, String outcome, WaitDecision.Reason reason) {
		this.waits.remove(wait.inquiry);
		long waitedMs = this.context.nowMs() - wait.sinceMs;
		this.metrics.recordWait(this.service, wait.facts.rank(), wait.reason, outcome, waitedMs);
		this.context.log()
			.write(LogEvent.REQUEST_WOKEN, "id", wait.id(), "service", this.service, "rank", wait.facts.rank(),
					"outcome", outcome, "reason", reason.label(), "waited-ms", waitedMs, "left-ms",
					wait.facts.latestPlacementMs() - this.context.nowMs(), "waiting", this.waits.size());
	}

	/**
	 * Tries the requests soon, but not within the event that is handled now. All news of
	 * one event lead to one try.
	 */
	void scheduleWake() {
		if (!isEmpty() && !this.wakeScheduled) {
			this.wakeScheduled = true;
			this.context.vertx().runOnContext((v) -> {
				this.wakeScheduled = false;
				wake();
			});
		}
	}

	// A request that is sent can fail at once and come back, which must not try others.
	private void wake() {
		if (isEmpty() || this.waking) {
			return;
		}
		this.waking = true;
		try {
			this.queue.wake(this.context.nowMs());
		}
		catch (RuntimeException ex) {
			refuseAll(ex);
		}
		finally {
			this.waking = false;
			this.trying = null;
		}
		changed();
	}

	// A fault of the queue must not leave requests without an answer.
	private void refuseAll(RuntimeException fault) {
		this.context.log()
			.write(LogEvent.FAULT, "service", this.service, "waiting", this.waits.size(), "reason", fault);
		for (Wait wait : List.copyOf(this.waits.values())) {
			this.queue.remove(wait);
			wait.refuse(WaitDecision.Reason.UNLIKELY);
		}
	}

	private void changed() {
		this.metrics.setWaiting(this.service, this.waits.size());
		OptionalLong limitMs = this.queue.nextLimitMs();
		if (limitMs.isEmpty()) {
			cancelTimer();
			return;
		}
		long nowMs = this.context.nowMs();
		long nextMs = Math.max(nowMs + 1, Math.min(limitMs.getAsLong(), nowMs + CHECK_INTERVAL_MS));
		if (this.timer != NO_TIMER && this.timerAtMs <= nextMs) {
			return;
		}
		cancelTimer();
		this.timerAtMs = nextMs;
		this.timer = this.context.vertx().setTimer(nextMs - nowMs, (id) -> {
			this.timer = NO_TIMER;
			wake();
		});
	}

	private void cancelTimer() {
		if (this.timer != NO_TIMER) {
			this.context.vertx().cancelTimer(this.timer);
			this.timer = NO_TIMER;
		}
	}

	/**
	 * A request that waits.
	 */
	private final class Wait implements RequestQueue.Waiter {

		private final PlacementInquiry inquiry;

		private final WaitingRequest facts;

		private final long sinceMs;

		private WaitDecision.Reason reason;

		private boolean placed;

		private Wait(PlacementInquiry inquiry, WaitingRequest facts, long sinceMs) {
			this.inquiry = inquiry;
			this.facts = facts;
			this.sinceMs = sinceMs;
		}

		private String id() {
			return this.inquiry.request().attemptId();
		}

		@Override
		public boolean place() {
			ServiceQueue.this.trying = this;
			this.inquiry.placeAgain();
			ServiceQueue.this.trying = null;
			return this.placed;
		}

		@Override
		public void refuse(WaitDecision.Reason why) {
			ended(this, "refused", why);
			this.inquiry.waitFailed(refusal(this, why));
		}

	}

}
