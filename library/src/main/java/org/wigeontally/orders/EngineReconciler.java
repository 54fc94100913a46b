package org.wigeontally.orders;

import org.wigeontally.misc.Clock;

/**
 * Decides what an agent orders of one engine, so that an order of the agent process
 * before it, or one of its own whose reply was lost, does no harm when it takes effect
 * late.
 * <p>
 * The fencing number is the offset of the agent's join record, shifted, plus a counter:
 * the log makes it grow from process to process without anybody keeping it. An engine
 * that checks it gets an order at once, even if it already holds the right state; from
 * then on it refuses everything older.
 * <p>
 * An engine that does not check may still carry out an older order. An order is sent at
 * most {@link #MAX_SEND_DELAY_MS} after it was decided, judged by the monotonic clock at
 * the moment of sending, and connections and engines keep it no longer than the rest of
 * {@link #ORDER_LIFETIME_MS}. So a new process waits that long before its first order,
 * and so does a process that got no reply, before it orders anything else. That an order
 * lives no longer is an assumption about engines, so it is not trusted alone: the state
 * is read back after each order and every {@link #READ_BACK_INTERVAL_MS}, the engine gets
 * work only while the last reading is right and young, and a wrong one is repaired by a
 * new order.
 * <p>
 * Used on the control context.
 */
public final class EngineReconciler {

	/** Longest time from the decision on an order to its last effect. */
	public static final long ORDER_LIFETIME_MS = 5000;

	/** Longest time from the decision on an order to its sending. */
	public static final long MAX_SEND_DELAY_MS = 1000;

	/** Time between two readings of an engine's state. */
	public static final long READ_BACK_INTERVAL_MS = 500;

	private static final int COUNTER_BITS = 20;

	private final boolean checksFence;

	private final Clock clock;

	private long fence;

	private boolean fenceAccepted;

	private long noOrdersUntilMs;

	private boolean orderPending;

	private long lastChangeMs;

	private EngineState observedState;

	private long observedStateMs = Long.MIN_VALUE;

	private boolean superseded;

	private EngineReconciler(long incarnation, boolean checksFence, Clock clock) {
		this.checksFence = checksFence;
		this.clock = clock;
		this.fence = incarnation << COUNTER_BITS;
		this.lastChangeMs = clock.monotonicMs();
		this.noOrdersUntilMs = checksFence ? Long.MIN_VALUE : this.lastChangeMs + ORDER_LIFETIME_MS;
	}

	/**
	 * Creates the ledger of a new agent process for one engine.
	 * @param incarnation offset of the agent's join record
	 * @param checksFence true if the engine refuses old fencing numbers
	 * @param clock source of time
	 * @return the ledger
	 */
	public static EngineReconciler create(long incarnation, boolean checksFence, Clock clock) {
		return new EngineReconciler(incarnation, checksFence, clock);
	}

	/**
	 * Decides the next step.
	 * @param desired what the engine is to hold
	 * @return the step
	 */
	public OrderStep nextStep(EngineState desired) {
		long nowMs = this.clock.monotonicMs();
		if (this.superseded) {
			return new OrderStep.Superseded();
		}
		if (this.orderPending) {
			return new OrderStep.Wait(nowMs + READ_BACK_INTERVAL_MS);
		}
		if (this.checksFence && !this.fenceAccepted) {
			return issueOrder(desired, nowMs);
		}
		if (nowMs < this.noOrdersUntilMs) {
			return new OrderStep.Wait(this.noOrdersUntilMs);
		}
		if (this.observedStateMs < Math.max(this.lastChangeMs, this.noOrdersUntilMs)
				|| nowMs - this.observedStateMs >= READ_BACK_INTERVAL_MS) {
			return new OrderStep.ReadBack();
		}
		return desired.equals(this.observedState) ? new OrderStep.Ready() : issueOrder(desired, nowMs);
	}

	private OrderStep issueOrder(EngineState desired, long nowMs) {
		this.fence++;
		this.orderPending = true;
		return new OrderStep.SendOrder(new Order(this.fence, desired, nowMs + MAX_SEND_DELAY_MS));
	}

	/**
	 * Tells, at the moment of sending, whether an order may still be sent. If not, it is
	 * to be reported as {@link OrderResult#FAILED}.
	 * @param order the order
	 * @return false if it is too old or the agent was superseded
	 */
	public boolean maySend(Order order) {
		return !this.superseded && this.clock.monotonicMs() < order.sendByMs();
	}

	/**
	 * Notes how an order ended.
	 * @param result the engine's answer
	 */
	public void recordResult(OrderResult result) {
		this.orderPending = false;
		this.lastChangeMs = this.clock.monotonicMs();
		if (result == OrderResult.DONE) {
			this.fenceAccepted = true;
		}
		if (result == OrderResult.STALE_FENCE) {
			this.superseded = true;
		}
		if (result == OrderResult.NO_REPLY) {
			recordNoReply();
		}
	}

	private void recordNoReply() {
		this.fenceAccepted = false;
		if (!this.checksFence) {
			this.noOrdersUntilMs = this.lastChangeMs + ORDER_LIFETIME_MS;
		}
	}

	/**
	 * Notes what the engine says that it holds.
	 * @param state the state
	 * @param askedMs monotonic time at which the question was sent
	 */
	public void recordObservedState(EngineState state, long queriedMs) {
		if (queriedMs >= this.observedStateMs) {
			this.observedState = state;
			this.observedStateMs = queriedMs;
		}
	}

	/**
	 * Tells, at the moment of use, whether the engine may get work.
	 * @param desired what the engine is to hold
	 * @return true if the last reading is right and young
	 */
	public boolean isReady(EngineState desired) {
		long nowMs = this.clock.monotonicMs();
		return !this.superseded && !this.orderPending && desired.equals(this.observedState)
				&& this.observedStateMs >= Math.max(this.lastChangeMs, this.noOrdersUntilMs)
				&& nowMs - this.observedStateMs < 2 * READ_BACK_INTERVAL_MS;
	}

}
