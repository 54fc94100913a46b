package org.wigeontally.orders;

/**
 * How an engine answered an order.
 */
public enum OrderResult {

	/** Carried out. */
	DONE,
	/** Refused or failed; nothing will follow. */
	FAILED,
	/** Refused because the engine has seen a higher fencing number. */
	STALE_FENCE,
	/** No answer: the order may still take effect. */
	NO_REPLY

}
