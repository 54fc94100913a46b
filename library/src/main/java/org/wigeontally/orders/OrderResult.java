package org.wigeontally.orders;

/** The result of an order to an engine. */
public enum OrderResult {

	/** The engine executed the order. */
	DONE,
	/** The engine refused the order or failed, and the order has no later effect. */
	FAILED,
	/** The engine refused the order because it has received a higher fencing number. */
	STALE_FENCE,
	/** No reply was received; the order may still take effect. */
	NO_REPLY

}
