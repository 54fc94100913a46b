package org.wigeontally.emulator.limits;

import org.wigeontally.limits.PermitCoordination;
import org.wigeontally.limits.PermitGrant;
import org.wigeontally.limits.PermitQueue;
import org.wigeontally.schema.generated.EntryNews;

/**
 * What entries do: permits that one entry issues for each backend server.
 */
final class PermitPolicy implements LimitPolicy {

	private static final int MIN_ENTRIES_AFTER_START = 9;

	private final LimitNetwork network;

	PermitPolicy(LimitNetwork network) {
		this.network = network;
	}

	@Override
	public boolean isHeld(SimulatedEntry entry, SimulatedBackend server) {
		return entry.permits(server).heldMs(this.network.monotonicMs()) > 0;
	}

	@Override
	public void acquire(SimulatedEntry entry, SimulatedBackend server, PermitQueue.Waiter waiter) {
		entry.permits(server).add(waiter);
		ask(entry, server);
	}

	private void ask(SimulatedEntry entry, SimulatedBackend server) {
		PermitQueue queue = entry.permits(server);
		int count = queue.beginInquiry(this.network.monotonicMs());
		if (count == 0) {
			return;
		}
		SimulatedEntry coordinator = this.network.entry(coordinator(this.network, entry, server));
		double limit = entry.limit(server).perSecond();
		long ageMs = this.network.monotonicMs() - entry.limit(server).evidenceAtMs();
		if (coordinator == entry) {
			answer(entry, server, issue(entry, server, count));
			return;
		}
		boolean[] ended = new boolean[1];
		int life = entry.life();
		this.network.after(PermitQueue.INQUIRY_TIMEOUT_MS, () -> {
			if (!ended[0] && entry.life() == life) {
				ended[0] = true;
				queue.failed(this.network.monotonicMs());
			}
		});
		this.network.send(entry, coordinator, () -> {
			coordinator.limit(server).recordNews(limit, ageMs, this.network.monotonicMs());
			PermitGrant grant = issue(coordinator, server, count);
			this.network.send(coordinator, entry, () -> {
				if (!ended[0] && entry.life() == life) {
					ended[0] = true;
					answer(entry, server, grant);
				}
			});
		});
	}

	private void answer(SimulatedEntry entry, SimulatedBackend server, PermitGrant grant) {
		entry.permits(server).answered(grant, this.network.monotonicMs());
		ask(entry, server);
	}

	/**
	 * Returns the entry that another one asks for permits.
	 * @param network the network
	 * @param entry the entry that asks
	 * @param server the backend server
	 * @return the coordinator in its view
	 */
	static EntryNews coordinator(LimitNetwork network, SimulatedEntry entry, SimulatedBackend server) {
		return PermitCoordination.coordinator(server.id(), LimitNetwork.REGION, entry.news(), network.live(entry));
	}

	private PermitGrant issue(SimulatedEntry entry, SimulatedBackend server, int count) {
		if (!coordinator(this.network, entry, server).equals(entry.news())) {
			return PermitGrant.NOT_COORDINATOR;
		}
		long uptimeMs = (long) (this.network.nowMs() - entry.startedAtMs());
		double share = PermitCoordination.share(this.network.live(entry), this.network.recent(entry), uptimeMs,
				MIN_ENTRIES_AFTER_START);
		double limit = entry.limit(server).perSecond();
		return (limit > 0)
				? entry.issuer(server, limit * share, this.network.monotonicMs())
					.issue(count, limit * share, 1 + this.network.live(entry).size(), this.network.monotonicMs())
				: new PermitGrant(count, 0);
	}

}
