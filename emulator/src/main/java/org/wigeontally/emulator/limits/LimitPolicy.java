package org.wigeontally.emulator.limits;

import org.wigeontally.limits.PermitQueue;

/**
 * How entries share the limit of a backend server.
 */
interface LimitPolicy {

	/**
	 * Returns whether an entry leaves a limited backend server out.
	 * @param entry the entry
	 * @param server the backend server
	 * @return true if it has no permit for now
	 */
	boolean isHeld(SimulatedEntry entry, SimulatedBackend server);

	/**
	 * Acquires a permit.
	 * @param entry the entry
	 * @param server the backend server
	 * @param waiter receives the outcome
	 */
	void acquire(SimulatedEntry entry, SimulatedBackend server, PermitQueue.Waiter waiter);

}
