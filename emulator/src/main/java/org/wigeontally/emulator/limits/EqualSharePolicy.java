package org.wigeontally.emulator.limits;

import org.wigeontally.limits.PermitQueue;

/**
 * Alternative: each entry may use an equal share of the limit, at times that differ by
 * its rank. A time that passes without a request is lost.
 */
final class EqualSharePolicy implements LimitPolicy {

	private static final double MS_PER_SECOND = 1000;

	private final LimitNetwork network;

	EqualSharePolicy(LimitNetwork network) {
		this.network = network;
	}

	@Override
	public boolean isHeld(SimulatedEntry entry, SimulatedBackend server) {
		return this.network.nowMs() < entry.nextSendMs(server);
	}

	@Override
	public void acquire(SimulatedEntry entry, SimulatedBackend server, PermitQueue.Waiter waiter) {
		int entries = 1 + this.network.live(entry).size();
		double intervalMs = MS_PER_SECOND * entries / entry.limit(server).perSecond();
		double offsetMs = intervalMs * entry.index() / entries;
		double passed = Math.floor((this.network.nowMs() - offsetMs) / intervalMs);
		entry.setNextSendMs(server, (passed + 1) * intervalMs + offsetMs);
		waiter.permitted();
	}

}
