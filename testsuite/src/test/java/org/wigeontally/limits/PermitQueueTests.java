package org.wigeontally.limits;

import java.util.ArrayList;
import java.util.List;

import org.testng.annotations.Test;

import org.wigeontally.misc.ManualClock;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Requests that wait for permits at one entry.
 */
public class PermitQueueTests {

	private final List<String> outcomes = new ArrayList<>();

	private PermitQueue.Waiter waiter(String name, boolean wanted) {
		return new PermitQueue.Waiter() {

			@Override
			public boolean permitted() {
				PermitQueueTests.this.outcomes.add(name + (wanted ? " sent" : " gone"));
				return wanted;
			}

			@Override
			public void denied() {
				PermitQueueTests.this.outcomes.add(name + " denied");
			}

		};
	}

	@Test
	public void permitsGoToRequestsInOrderAndPassThoseWhoseCallersLeft() {
		this.outcomes.clear();
		PermitQueue queue = PermitQueue.create();
		queue.add(waiter("a", false));
		queue.add(waiter("b", true));
		queue.add(waiter("c", true));
		assertThat(queue.beginInquiry(0)).isEqualTo(3);
		queue.add(waiter("d", true));
		assertThat(queue.beginInquiry(5)).isZero();
		queue.answered(new PermitGrant(1, 500), 10);
		assertThat(this.outcomes).containsExactly("a gone", "b sent", "c denied", "d denied");
		assertThat(queue.permitted()).isEqualTo(1);
		assertThat(queue.heldMs(110)).isEqualTo(400);
		assertThat(queue.heldMs(510)).isZero();
	}

	@Test
	public void requestsThatArriveDuringAnInquiryAreAskedForNext() {
		this.outcomes.clear();
		PermitQueue queue = PermitQueue.create();
		queue.add(waiter("a", true));
		queue.beginInquiry(0);
		queue.add(waiter("b", true));
		queue.answered(new PermitGrant(1, 0), 10);
		assertThat(this.outcomes).containsExactly("a sent");
		assertThat(queue.beginInquiry(10)).isEqualTo(1);
	}

	/** The coordinator was killed or paused: few requests wait, and none for long. */
	@Test
	public void silentCoordinatorKeepsNoFurtherRequests() {
		this.outcomes.clear();
		PermitQueue queue = PermitQueue.create();
		queue.add(waiter("a", true));
		queue.beginInquiry(0);
		assertThat(queue.heldMs(30)).isZero();
		assertThat(queue.heldMs(60)).isPositive();
		queue.failed(200);
		assertThat(this.outcomes).containsExactly("a denied");
		assertThat(queue.heldMs(300)).isPositive();
		assertThat(queue.heldMs(1_000)).isZero();
	}

	@Test
	public void endOfTheLimitReleasesAllRequests() {
		this.outcomes.clear();
		PermitQueue queue = PermitQueue.create();
		queue.add(waiter("a", true));
		queue.add(waiter("b", true));
		queue.beginInquiry(0);
		queue.limitEnded();
		assertThat(this.outcomes).containsExactly("a sent", "b sent");
		assertThat(queue.heldMs(0)).isZero();
	}

	/**
	 * A process is paused between the inquiry and the sending. Whichever clock went on,
	 * the permit has lapsed.
	 */
	@Test
	public void permitOfAPausedProcessHasLapsed() {
		ManualClock clock = ManualClock.startingAt(10_000);
		Permit permit = Permit.askedNow(clock);
		clock.advance(Permit.MAX_AGE_MS);
		assertThat(permit.holds(clock)).isTrue();
		clock.advance(1);
		assertThat(permit.holds(clock)).isFalse();
		assertThat(new Permit(clock.monotonicMs(), clock.wallMs() - 5_000).holds(clock)).isFalse();
	}

}
