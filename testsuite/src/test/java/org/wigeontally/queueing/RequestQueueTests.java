package org.wigeontally.queueing;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;

import org.testng.annotations.Test;

import org.wigeontally.queueing.WaitDecision.Reason;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Order, limits and fairness of waiting requests, in virtual time.
 */
public class RequestQueueTests {

	private static final long TARGET_MS = 400;

	private final List<String> placed = new ArrayList<>();

	private final List<String> refused = new ArrayList<>();

	/** Number of slots that are free. */
	private int slots;

	private RequestQueue createQueue(int slotsPerSecond) {
		this.placed.clear();
		this.refused.clear();
		this.slots = 0;
		QueuePolicy policy = QueuePolicy.create();
		for (int i = 0; i < slotsPerSecond; i++) {
			policy.recordPlacement(9, 0);
		}
		return RequestQueue.create(policy);
	}

	private static WaitingRequest request(String organisation, int rank, long nowMs, long latestMs) {
		return new WaitingRequest(organisation, rank, "all", nowMs, TARGET_MS, latestMs);
	}

	private WaitDecision offer(RequestQueue queue, WaitingRequest request, long nowMs) {
		String name = request.organisation() + "/" + request.rank() + "/" + request.latestPlacementMs();
		return queue.offer(request, new RequestQueue.Waiter() {

			@Override
			public boolean place() {
				if (RequestQueueTests.this.slots == 0) {
					return false;
				}
				RequestQueueTests.this.slots--;
				return RequestQueueTests.this.placed.add(name);
			}

			@Override
			public void refuse(Reason reason) {
				RequestQueueTests.this.refused.add(name);
			}

		}, nowMs);
	}

	/** Guards against slots for less urgent requests, or for those with more time. */
	@Test
	public void urgentRequestsAreFirstAndThenThoseWithLittleTime() {
		RequestQueue queue = createQueue(100);
		offer(queue, request("a", 2, 0, 200), 0);
		offer(queue, request("b", 0, 0, 300), 0);
		offer(queue, request("c", 0, 0, 250), 0);
		this.slots = 2;
		queue.wake(10);
		assertThat(this.placed).containsExactly("c/0/250", "b/0/300");
		assertThat(queue.size()).isEqualTo(1);
	}

	/**
	 * Guards against a request that keeps engines idle for others, because its own are
	 * full, or because it has too little time left for those that have a slot.
	 */
	@Test
	public void requestThatFindsNoSlotDoesNotHoldUpOthers() {
		placeBehindRequestWithoutSlot("full");
		placeBehindRequestWithoutSlot("all");
	}

	private void placeBehindRequestWithoutSlot(String engineSet) {
		RequestQueue queue = createQueue(100);
		queue.offer(new WaitingRequest("a", 0, engineSet, 0, TARGET_MS, 300), new RequestQueue.Waiter() {

			@Override
			public boolean place() {
				return false;
			}

			@Override
			public void refuse(Reason reason) {
				RequestQueueTests.this.refused.add("a");
			}

		}, 0);
		offer(queue, request("b", 1, 0, 300), 0);
		this.slots = 1;
		queue.wake(10);
		assertThat(this.placed).containsExactly("b/1/300");
	}

	/**
	 * Guards against requests that wait in vain: late ones, those behind too many others,
	 * and those whose time becomes too short.
	 */
	@Test
	public void requestsThatCannotMakeItAreRefusedAtOnce() {
		RequestQueue queue = createQueue(20);
		assertThat(offer(queue, request("a", 0, 0, 0), 0).reason()).isEqualTo(Reason.LATE);
		assertThat(offer(queue, request("a", 0, 0, 100), 0).reason()).isEqualTo(Reason.EXPECTED);
		WaitDecision second = offer(queue, request("b", 0, 0, 101), 0);
		assertThat(second.reason()).isEqualTo(Reason.HARMLESS);
		assertThat(second.untilMs()).isEqualTo(TARGET_MS / 8);
		assertThat(offer(queue, request("c", 0, 0, 102), 0).reason()).isEqualTo(Reason.UNLIKELY);
		queue.wake(TARGET_MS / 8);
		assertThat(this.refused).containsExactly("b/0/101");
		long limitMs = queue.nextLimitMs().getAsLong();
		assertThat(limitMs).isBetween(TARGET_MS / 8 + 1, 99L);
		queue.wake(limitMs);
		assertThat(this.refused).containsExactly("b/0/101", "a/0/100");
		assertThat(queue.nextLimitMs()).isEmpty();
	}

	/**
	 * Guards against an entry that goes on holding callers although others take all slots
	 * that become free, and that never tries again when the burst is over.
	 */
	@Test
	public void waitsThatFailMakeWaitsRarerForAWhile() {
		QueuePolicy policy = QueuePolicy.create();
		int waits = 0;
		for (int second = 0; second < 10; second++) {
			for (int i = 0; i < 10; i++) {
				long nowMs = second * 1_000 + i * 100;
				policy.recordPlacement(0, nowMs);
				WaitDecision decision = policy.decide(request("a", 0, nowMs, nowMs + 250), 0, nowMs);
				if (decision.reason() == Reason.EXPECTED) {
					waits++;
					policy.recordWait(0, decision.chance(), false, nowMs);
				}
			}
		}
		assertThat(waits).isLessThan(20);
		for (int i = 0; i < 10; i++) {
			policy.recordPlacement(0, 20_000 + i);
		}
		assertThat(policy.decide(request("a", 0, 20_010, 20_260), 0, 20_010).reason()).isEqualTo(Reason.EXPECTED);
	}

	/**
	 * Guards against callers that are held while no engine has a slot for seconds, as
	 * when all load weights, and against an idle entry that takes this for granted.
	 */
	@Test
	public void requestsAreRefusedAtOnceWhileNoSlotIsFoundForLong() {
		QueuePolicy policy = QueuePolicy.create();
		assertThat(policy.decide(request("a", 2, 0, 640), 0, 0).isWait()).isTrue();
		assertThat(policy.decide(request("a", 2, 2_000, 2_640), 0, 2_000).isWait()).isFalse();
		policy.recordPlacement(2, 2_100);
		assertThat(policy.decide(request("a", 2, 60_000, 60_640), 0, 60_000).isWait()).isTrue();
	}

	/**
	 * 24 organisations of which two send twenty times as many requests as each other one,
	 * and a slot for a fifth of them. Guards against large organisations that take all
	 * waiting places or all slots.
	 */
	@Test
	public void organisationsGetSlotsInTurn() {
		RequestQueue queue = createQueue(100);
		Map<String, Integer> sent = new HashMap<>();
		for (long nowMs = 1; nowMs <= 2_000; nowMs++) {
			for (int organisation = 0; organisation < 24; organisation++) {
				if (nowMs % ((organisation < 2) ? 10 : 200) == (organisation * 7) % 10) {
					sent.merge("org-" + organisation, 1, Integer::sum);
					offer(queue, request("org-" + organisation, 0, nowMs, nowMs + 300), nowMs);
				}
			}
			this.slots = (nowMs % 16 == 0) ? 1 : 0;
			queue.wake(nowMs);
			assertThat(queue.size()).isLessThanOrEqualTo(64);
		}
		double small = 0;
		for (int organisation = 2; organisation < 24; organisation++) {
			small += servedShare("org-" + organisation, sent) / 22;
		}
		double large = (servedShare("org-0", sent) + servedShare("org-1", sent)) / 2;
		assertThat(small).isGreaterThan(large);
		assertThat(large).isGreaterThan(0.25 * this.placed.size() / sent.values().stream().mapToInt((n) -> n).sum());
	}

	private double servedShare(String organisation, Map<String, Integer> sent) {
		return (double) this.placed.stream().filter((name) -> name.startsWith(organisation + "/")).count()
				/ sent.get(organisation);
	}

	/**
	 * Guards against callers of all ranks that return within the burst, or at the same
	 * moment, and against times that callers do not honour.
	 */
	@Test
	public void onlyTheMostUrgentRankReturnsSoon() {
		QueuePolicy policy = QueuePolicy.create();
		ReturnTime returnTime = ReturnTime.create(policy, new Random(1));
		WaitingRequest urgent = request("a", 0, 0, 250);
		WaitingRequest other = request("a", 2, 0, 650);
		returnTime.recordArrival(0, 0);
		assertThat(returnTime.seconds(urgent, 6_000, 0)).isBetween(1.7, 2.0);
		returnTime.recordArrival(2, 0);
		assertThat(returnTime.seconds(urgent, 6_000, 0)).isBetween(1.7, 2.0);
		for (int i = 0; i < 10; i++) {
			policy.recordPlacement(0, 0);
			policy.recordPlacement(2, 0);
		}
		List<Double> urgentTimes = new ArrayList<>();
		for (int i = 0; i < 100; i++) {
			urgentTimes.add(returnTime.seconds(urgent, 6_000, 0));
			assertThat(returnTime.seconds(other, 6_000, 0)).isBetween(1.7, 2.0);
			assertThat(returnTime.seconds(other, 600, 0)).isLessThanOrEqualTo(0.2);
		}
		assertThat(urgentTimes).allMatch((seconds) -> seconds > 0 && seconds < 0.25);
		assertThat(urgentTimes.stream().distinct().count()).isGreaterThan(30);
	}

}
