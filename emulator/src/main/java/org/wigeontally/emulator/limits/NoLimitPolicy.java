package org.wigeontally.emulator.limits;

import org.wigeontally.limits.PermitQueue;

/**
 * Baseline: limits are not heard.
 */
final class NoLimitPolicy implements LimitPolicy {

	@Override
	public boolean isHeld(SimulatedEntry entry, SimulatedServer server) {
		return false;
	}

	@Override
	public void acquire(SimulatedEntry entry, SimulatedServer server, PermitQueue.Waiter waiter) {
		waiter.permitted();
	}

}
