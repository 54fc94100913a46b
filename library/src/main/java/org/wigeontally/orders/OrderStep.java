package org.wigeontally.orders;

/** The next step of an agent for an engine. */
public sealed interface OrderStep {

	/**
	 * The agent waits and sends no work to the engine.
	 *
	 * @param untilMs monotonic time at which to request the next step
	 */
	record Wait(long untilMs) implements OrderStep {

	}

	/** The agent queries the state of the engine. */
	record ReadBack() implements OrderStep {

	}

	/**
	 * The agent sends an order.
	 *
	 * @param order the order
	 */
	record SendOrder(Order order) implements OrderStep {

	}

	/** The engine is in the desired state and may get work. */
	record Ready() implements OrderStep {

	}

	/** A newer agent controls the engine; this agent stops sending orders. */
	record Superseded() implements OrderStep {

	}

}
