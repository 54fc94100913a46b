package org.wigeontally.queueing;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;

import org.wigeontally.queueing.WaitDecision.Reason;

/**
 * The requests of one service that wait at this entry for a slot of an engine.
 *
 * <p>
 * It answers bursts in which all engines are full while each frees a slot about every 100
 * ms, some of whose requests come from a few large organisations. The order is rank, then
 * turn, then time left. An organisation's turn is the number of slots that it lately got
 * by waiting, and of its own requests ahead, in units of {@link #SLOTS_PER_TURN}. A large
 * organisation therefore gets as many slots as a small one that waits as often, and its
 * excess is at the end, where it does not count against others and is refused first. When
 * all waiting places are taken, the last request in this order leaves.
 *
 * <p>
 * {@code admission.FairQueue} is not used: it serves the oldest request first after 300
 * ms whatever its rank, its costs are tokens, and its order is fixed when a request
 * comes, while here the time left counts. Used by one thread.
 */
public final class RequestQueue {

	/**
	 * Waiting places. Twice as many as can be placed in the longest wait at one of nine
	 * entries: 36 slots a second for 0.8 s. Bounds the work of each wake-up.
	 */
	private static final int MAX_WAITING = 64;

	/**
	 * Slots of a turn. In one, the request with the least time left is served first
	 * whatever its organisation.
	 */
	private static final double SLOTS_PER_TURN = 2;

	/**
	 * Requests that may find no slot before the try ends. A second one is tried because
	 * the first one may only have too little time left for the engines that have a slot.
	 */
	private static final int MAX_FAILED_TRIES = 2;

	private static final Comparator<Entry> ORDER = Comparator.comparingInt((Entry entry) -> entry.request.rank())
		.thenComparingInt((entry) -> entry.turn)
		.thenComparingLong((entry) -> entry.request.latestPlacementMs());

	private final QueuePolicy policy;

	// In their order as of the last sorting.
	private final List<Entry> waiting = new ArrayList<>();

	private final OrganisationShares shares = new OrganisationShares();

	private RequestQueue(QueuePolicy policy) {
		this.policy = policy;
	}

	/**
	 * Creates an empty queue.
	 * @param policy decides which requests wait
	 * @return the queue
	 */
	public static RequestQueue create(QueuePolicy policy) {
		return new RequestQueue(policy);
	}

	/**
	 * Returns the number of requests that wait.
	 * @return number of requests
	 */
	public int size() {
		return this.waiting.size();
	}

	/**
	 * Adds a request if it may wait.
	 * @param request the request
	 * @param waiter places or refuses it later
	 * @param nowMs current time in milliseconds
	 * @return the decision; the request has not been added if it does not wait
	 */
	public WaitDecision offer(WaitingRequest request, Waiter waiter, long nowMs) {
		Entry added = new Entry(request, waiter, nowMs);
		this.waiting.add(added);
		sort(nowMs);
		WaitDecision decision = this.policy.decide(request, countAhead(added), nowMs);
		if (decision.isWait() && this.waiting.size() > MAX_WAITING) {
			Entry last = this.waiting.get(this.waiting.size() - 1);
			if (last == added) {
				decision = new WaitDecision(nowMs, decision.chance(), Reason.CROWDED);
			}
			else {
				refuse(last, Reason.CROWDED);
			}
		}
		added.decision = decision;
		if (!decision.isWait()) {
			this.waiting.remove(added);
		}
		return decision;
	}

	/**
	 * Removes a request that has ended for another reason, such as its caller. Nothing
	 * happens if it does not wait.
	 * @param waiter the request
	 */
	public void remove(Waiter waiter) {
		this.waiting.removeIf((entry) -> entry.waiter == waiter);
	}

	/**
	 * Tries to place the requests in their order, because a slot may have become free or
	 * the time of one is over. Stops for each set of engines after
	 * {@link #MAX_FAILED_TRIES} requests that find no slot, and refuses those that can no
	 * longer be placed in time.
	 * @param nowMs current time in milliseconds
	 */
	public void wake(long nowMs) {
		sort(nowMs);
		Map<Object, Integer> failedTries = new HashMap<>();
		for (Entry entry : List.copyOf(this.waiting)) {
			Object engines = entry.request.engineSet();
			if (!this.waiting.contains(entry) || failedTries.getOrDefault(engines, 0) >= MAX_FAILED_TRIES) {
				continue;
			}
			if (entry.waiter.place()) {
				this.waiting.remove(entry);
				this.policy.recordWait(entry.request.rank(), entry.decision.chance(), true, nowMs);
				this.shares.recordSlot(entry.request.organisation(), nowMs);
			}
			else if (this.waiting.contains(entry)) {
				failedTries.merge(engines, 1, Integer::sum);
			}
		}
		refuseHopeless(nowMs);
	}

	private void refuseHopeless(long nowMs) {
		for (Entry entry : List.copyOf(this.waiting)) {
			if (!this.waiting.contains(entry)) {
				continue;
			}
			boolean over = nowMs >= entry.decision.untilMs();
			if (over || !this.policy.mayStay(entry.request, countAhead(entry), nowMs)) {
				this.policy.recordWait(entry.request.rank(), entry.decision.chance(), false, nowMs);
				refuse(entry, over ? entry.decision.reason() : Reason.UNLIKELY);
			}
		}
	}

	private void refuse(Entry entry, Reason reason) {
		this.waiting.remove(entry);
		entry.waiter.refuse(reason);
	}

	/**
	 * Returns when the first wait reaches its limit.
	 * @return milliseconds; empty if no request waits
	 */
	public OptionalLong nextLimitMs() {
		return this.waiting.stream().mapToLong((entry) -> entry.decision.untilMs()).min();
	}

	private int countAhead(Entry entry) {
		int ahead = 0;
		for (Entry other : this.waiting) {
			if (other == entry) {
				return ahead;
			}
			ahead += other.competesWith(entry.request) ? 1 : 0;
		}
		return ahead;
	}

	// Turns decrease as slots are forgotten, so the order is found anew each time.
	private void sort(long nowMs) {
		this.waiting.sort(Comparator.comparingLong((entry) -> entry.request.latestPlacementMs()));
		Map<String, Integer> ownAhead = new HashMap<>();
		for (Entry entry : this.waiting) {
			String organisation = entry.request.organisation();
			int ahead = ownAhead.merge(organisation, 1, Integer::sum) - 1;
			entry.turn = (int) ((this.shares.slots(organisation, nowMs) + ahead) / SLOTS_PER_TURN);
		}
		this.waiting.sort(ORDER);
	}

	/**
	 * A request that waits.
	 */
	public interface Waiter {

		/**
		 * Places the request if an engine has a slot for it. May remove it from the queue
		 * instead, if it has ended.
		 * @return true if it has been placed
		 */
		boolean place();

		/**
		 * Called when the request has left the queue without a slot.
		 * @param reason why it was not placed
		 */
		void refuse(Reason reason);

	}

	private static final class Entry {

		private final WaitingRequest request;

		private final Waiter waiter;

		private WaitDecision decision;

		private int turn;

		private Entry(WaitingRequest request, Waiter waiter, long nowMs) {
			this.request = request;
			this.waiter = waiter;
			this.decision = new WaitDecision(nowMs, 0, Reason.UNLIKELY);
		}

		private boolean competesWith(WaitingRequest other) {
			return this.request.engineSet().equals(other.engineSet());
		}

	}

}
