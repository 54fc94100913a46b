package org.wigeontally.orders;

import org.wigeontally.misc.Clock;

/**
 * Decides which orders an agent sends to one engine to reach the desired state. An order
 * that takes effect late, sent by an earlier agent process or by this one without
 * receiving the reply, must do no harm.
 *
 * <p>
 * Each order carries a fencing number, which consists of the offset of the agent's join
 * record, shifted left, and a counter. Offsets grow in the log, so the number grows
 * across agent processes without being stored separately. An engine that checks fencing
 * numbers gets an order at once, even if it already is in the desired state; after that
 * it refuses all orders with lower numbers.
 *
 * <p>
 * An engine that does not check fencing numbers can still execute an older order. An
 * order is sent at most {@link #MAX_SEND_DELAY_MS} after the decision, by the monotonic
 * clock at the time of sending, and connections and engines keep it at most for the rest
 * of {@link #ORDER_LIFETIME_MS}. A new process therefore waits for that time before its
 * first order, and a process that received no reply waits for it before its next order.
 *
 * <p>
 * The lifetime of an order is an assumption about engines, so the agent does not rely on
 * it alone. It reads the state back after each order and every
 * {@link #READ_BACK_INTERVAL_MS}. The engine gets work only while the last observed state
 * is correct and recent, and a new order corrects a wrong state.
 *
 * <p>
 * Used on the control context.
 */
public final class EngineReconciler {

	/** Maximum time from the decision on an order to its last effect. */
	public static final long ORDER_LIFETIME_MS = 5000;

	/** Maximum time from the decision on an order to its sending. */
	public static final long MAX_SEND_DELAY_MS = 1000;

	/** Interval at which the state of an engine is read back. */
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

	private long stateQueriedMs = Long.MIN_VALUE;

	private boolean superseded;

	private EngineReconciler(long incarnation, boolean checksFence, Clock clock) {
		this.checksFence = checksFence;
		this.clock = clock;
		this.fence = incarnation << COUNTER_BITS;
		this.lastChangeMs = clock.monotonicMs();
		this.noOrdersUntilMs = checksFence ? Long.MIN_VALUE : this.lastChangeMs + ORDER_LIFETIME_MS;
	}

	/**
	 * Creates the reconciler of a new agent process for one engine.
	 * @param incarnation offset of the agent's join record
	 * @param checksFence true if the engine refuses orders with old fencing numbers
	 * @param clock source of time
	 * @return the reconciler
	 */
	public static EngineReconciler create(long incarnation, boolean checksFence, Clock clock) {
		return new EngineReconciler(incarnation, checksFence, clock);
	}

	/**
	 * Decides the next step.
	 * @param desired desired state of the engine
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
		if (this.stateQueriedMs < Math.max(this.lastChangeMs, this.noOrdersUntilMs)
				|| nowMs - this.stateQueriedMs >= READ_BACK_INTERVAL_MS) {
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
	 * Returns whether an order may still be sent; to be called just before sending. An
	 * order that may not be sent is reported as {@link OrderResult#FAILED}.
	 * @param order the order
	 * @return false if the order has expired or a newer agent controls the engine
	 */
	public boolean maySend(Order order) {
		return !this.superseded && this.clock.monotonicMs() < order.sendByMs();
	}

	/**
	 * Records the result of an order.
	 * @param result the result
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
	 * Records the state that the engine reported. Ignores a reply to an earlier query
	 * than the last recorded one.
	 * @param state the state
	 * @param queriedMs monotonic time at which the query was sent
	 */
	public void recordObservedState(EngineState state, long queriedMs) {
		if (queriedMs >= this.stateQueriedMs) {
			this.observedState = state;
			this.stateQueriedMs = queriedMs;
		}
	}

	/**
	 * Returns whether the engine may get work; to be called just before sending work.
	 * @param desired desired state of the engine
	 * @return true if the last observed state is the desired one and recent
	 */
	public boolean isReady(EngineState desired) {
		long nowMs = this.clock.monotonicMs();
		return !this.superseded && !this.orderPending && desired.equals(this.observedState)
				&& this.stateQueriedMs >= Math.max(this.lastChangeMs, this.noOrdersUntilMs)
				&& nowMs - this.stateQueriedMs < 2 * READ_BACK_INTERVAL_MS;
	}

}
