package org.wigeontally.emulator.configuration;

import java.util.function.BooleanSupplier;

/**
 * A call of an entry to the store.
 */
interface StoreCall {

	SimulatedEntry entry();

	/**
	 * Returns which topic is read.
	 * @return true for the configurations, false for the registrations
	 */
	boolean operator();

	boolean snapshot();

	long start();

	long waitMs();

	/**
	 * Ends the call with an error.
	 */
	void refuse();

	/**
	 * Sends the response.
	 * @param bytes its size
	 * @param end the position up to which it holds the records
	 * @param running returns false if the store has given it up
	 * @param completed runs when it has arrived
	 */
	void send(int bytes, long end, BooleanSupplier running, Runnable completed);

}
