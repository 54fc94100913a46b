package org.wigeontally.orders;

/**
 * What the agent does next about an engine.
 */
public sealed interface OrderStep {

	/**
	 * Waits, and sends the engine no work.
	 *
	 * @param untilMs monotonic time at which to ask for the next step
	 */
	record Wait(long untilMs) implements OrderStep {

	}

	/**
	 * Asks the engine what it holds.
	 */
	record ReadBack() implements OrderStep {

	}

	/**
	 * Gives an order.
	 *
	 * @param order the order
	 */
	record SendOrder(Order order) implements OrderStep {

	}

	/**
	 * The engine holds what it is to hold; it may get work.
	 */
	record Ready() implements OrderStep {

	}

	/**
	 * A newer agent orders this engine; this one stops.
	 */
	record Superseded() implements OrderStep {

	}

}
