package org.wigeontally.emulator.limits;

import org.wigeontally.limits.PermitQueue;

/**
 * Baseline: limits are not heard.
 */
final class NoLimitPolicy implements LimitPolicy {

	@Override
	public boolean isHeld(SimulatedEntry entry, SimulatedBackend server) {
		return false;
	}

	@Override
	public void acquire(SimulatedEntry entry, SimulatedBackend server, PermitQueue.Waiter waiter) {
		waiter.permitted();
	}

}
