package org.wigeontally.placement;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.Random;

import org.wigeontally.queueing.QueuePolicy;
import org.wigeontally.queueing.RequestQueue;
import org.wigeontally.queueing.ReturnTime;
import org.wigeontally.queueing.WaitDecision;
import org.wigeontally.queueing.WaitingRequest;

/**
 * Entries of a {@link PlacementSimulation} at which requests wait, and the record of
 * their waits by rank.
 */
final class QueuedEntries implements PlacementSimulation.EntryBehaviour {

	private final PlacementSimulation simulation;

	private final EngineProfile profile;

	private final List<Entry> entries = new ArrayList<>();

	private final Map<Integer, Waits> waitsByRank = new HashMap<>();

	QueuedEntries(PlacementSimulation simulation, EngineProfile profile, int entryCount, long seed) {
		this.simulation = simulation;
		this.profile = profile;
		Random random = new Random(seed);
		for (int entry = 0; entry < entryCount; entry++) {
			this.entries.add(new Entry(random));
		}
	}

	Waits waits(int rank) {
		return this.waitsByRank.computeIfAbsent(rank, (key) -> new Waits());
	}

	@Override
	public void arrived(PlacementSimulation.Arrival arrival, long nowMs) {
		this.entries.get(arrival.entry()).arrived(arrival, nowMs);
	}

	@Override
	public void slotMayBeFree(int entry, long nowMs) {
		this.entries.get(entry).wake(nowMs);
	}

	@Override
	public void tick(long nowMs) {
		for (Entry entry : this.entries) {
			OptionalLong limitMs = entry.queue.nextLimitMs();
			if (limitMs.isPresent() && limitMs.getAsLong() <= nowMs) {
				entry.wake(nowMs);
			}
		}
	}

	/**
	 * Waits of one rank.
	 */
	static final class Waits {

		int placed;

		int failed;

		/** Failed waits that took over an eighth of the target. */
		int failedLong;

		double failedMs;

		@Override
		public String toString() {
			return "placed=" + this.placed + " failed=" + this.failed + " failedLong=" + this.failedLong
					+ " meanFailedMs=" + Math.round(this.failedMs / Math.max(1, this.failed));
		}

	}

	private final class Entry {

		private final QueuePolicy policy = QueuePolicy.create();

		private final RequestQueue queue = RequestQueue.create(this.policy);

		private final ReturnTime returnTime;

		private long nowMs;

		private Entry(Random random) {
			this.returnTime = ReturnTime.create(this.policy, random);
		}

		private void wake(long atMs) {
			this.nowMs = atMs;
			if (this.queue.size() > 0) {
				this.queue.wake(atMs);
			}
		}

		private void arrived(PlacementSimulation.Arrival arrival, long atMs) {
			wake(atMs);
			this.nowMs = atMs;
			this.returnTime.recordArrival(arrival.kind().rank(), atMs);
			WaitingRequest request = WaitingRequest.of("org-" + arrival.outcome().organisation, arrival.kind().rank(),
					"all", atMs, (long) arrival.kind().targetMs(), (long) arrival.targetAtMs(),
					QueuedEntries.this.profile.admittedFirstEventMs(arrival.promptTokens()));
			if (tryPlace(arrival)) {
				return;
			}
			WaitDecision decision = this.queue.offer(request, new RequestQueue.Waiter() {

				@Override
				public boolean place() {
					if (!tryPlace(arrival)) {
						return false;
					}
					waits(request.rank()).placed++;
					return true;
				}

				@Override
				public void refuse(WaitDecision.Reason reason) {
					Waits waits = waits(request.rank());
					long heldMs = Entry.this.nowMs - atMs;
					waits.failed++;
					waits.failedMs += heldMs;
					waits.failedLong += (heldMs > request.targetMs() / 8 + 1) ? 1 : 0;
					reject(arrival, request);
				}

			}, atMs);
			if (!decision.isWait()) {
				reject(arrival, request);
			}
		}

		private boolean tryPlace(PlacementSimulation.Arrival arrival) {
			PlacementDecision decision = QueuedEntries.this.simulation.decide(arrival, this.nowMs);
			if (!(decision instanceof PlacementDecision.Place place)) {
				return false;
			}
			this.policy.recordPlacement(arrival.kind().rank(), this.nowMs);
			QueuedEntries.this.simulation.send(arrival, place, this.nowMs);
			return true;
		}

		private void reject(PlacementSimulation.Arrival arrival, WaitingRequest request) {
			double remainingMs = arrival.deadlineAtMs() - this.nowMs;
			double seconds = this.returnTime.seconds(request, remainingMs, this.nowMs);
			QueuedEntries.this.simulation.reject(arrival, seconds * 1_000, this.nowMs);
		}

	}

}
