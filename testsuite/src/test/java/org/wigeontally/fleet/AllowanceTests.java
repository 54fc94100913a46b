package org.wigeontally.fleet;

import org.testng.annotations.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Bounds that hold over all entries without a word between them.
 */
public class AllowanceTests {

	/**
	 * Every entry fails everything at once; the sum of repeats stays within the bound.
	 */
	@Test
	public void repeatsOfAllEntriesStayWithinTheBound() {
		int entries = 9;
		double ratio = 0.2;
		double slack = 104;
		int requests = 0;
		int repeats = 0;
		for (int entry = 0; entry < entries; entry++) {
			RetryBudgetShare allowance = RetryBudgetShare.of(ratio, slack, 10_000).setMaxEntries(entries);
			for (long nowMs = 0; nowMs < 10_000; nowMs += 100) {
				allowance.recordRequest(nowMs);
				requests++;
				repeats += allowance.tryAcquireRetry(nowMs) ? 1 : 0;
			}
		}
		assertThat(repeats).isPositive().isLessThanOrEqualTo((int) (ratio * requests + slack));
	}

	@Test
	public void repeatsComeBackAfterTheWindow() {
		RetryBudgetShare allowance = RetryBudgetShare.of(0, 2, 1_000);
		assertThat(allowance.tryAcquireRetry(0)).isTrue();
		assertThat(allowance.tryAcquireRetry(10)).isFalse();
		assertThat(allowance.tryAcquireRetry(1_100)).isTrue();
	}

	/**
	 * Three entries are added to nine, after requests have been repeated by some of them.
	 */
	@Test
	public void repeatsStayWithinTheBoundWhenEntriesAreAdded() {
		int before = 9;
		int after = 12;
		double slack = 104;
		int repeats = 0;
		for (int entry = 0; entry < after; entry++) {
			RetryBudgetShare allowance = RetryBudgetShare.of(0, slack, 10_000).setMaxEntries(before);
			boolean early = entry < before / 2;
			for (long nowMs = early ? 0 : 100; nowMs < 10_000; nowMs += 100) {
				if (nowMs >= 100) {
					allowance.setMaxEntries(after);
				}
				repeats += allowance.tryAcquireRetry(nowMs) ? 1 : 0;
			}
		}
		assertThat(repeats).isPositive().isLessThanOrEqualTo((int) slack);
	}

	/** A zone returns cold and all entries send it what they may. */
	@Test
	public void coldBackendServerBearsWhatAllEntriesSend() {
		int entries = 12;
		double bound = 36 * 1.5 + 5;
		int sent = 0;
		for (int entry = 0; entry < entries; entry++) {
			WarmupRateLimiter share = WarmupRateLimiter.create();
			share.setLimit(bound, entries);
			for (long nowMs = 0; nowMs < 1_000; nowMs += 5) {
				if (share.hasCapacity(nowMs)) {
					share.reserve();
					share.recordSent(nowMs);
					sent++;
				}
			}
		}
		assertThat(sent).isPositive().isLessThanOrEqualTo((int) bound);
	}

	/** All engines return at once, and connections to them take a while. */
	@Test
	public void requestsThatWaitForConnectionsTakeRoom() {
		double bound = 26 * 1.5 + 5;
		int entries = 9;
		int sent = 0;
		for (int entry = 0; entry < entries; entry++) {
			WarmupRateLimiter share = WarmupRateLimiter.create();
			share.setLimit(bound, entries);
			int waiting = 0;
			for (long nowMs = 0; nowMs < 500; nowMs += 20) {
				if (share.hasCapacity(nowMs)) {
					share.reserve();
					waiting++;
				}
			}
			for (int i = 0; i < waiting; i++) {
				share.recordSent(500);
				sent++;
			}
			assertThat(share.hasCapacity(500)).isFalse();
		}
		assertThat(sent).isPositive().isLessThanOrEqualTo((int) bound);
	}

	@Test
	public void requestThatIsNotSentGivesItsRoomBack() {
		WarmupRateLimiter share = WarmupRateLimiter.create();
		share.setLimit(1, 1);
		share.reserve();
		assertThat(share.hasCapacity(0)).isFalse();
		share.release();
		assertThat(share.hasCapacity(0)).isTrue();
	}

	@Test
	public void callerComesBackWithinAThirdOfItsTime() {
		java.util.random.RandomGenerator random = new java.util.Random(1);
		for (int i = 0; i < 100; i++) {
			double seconds = RetryAfter.seconds(5_000, 1_500, random);
			assertThat(seconds).isLessThanOrEqualTo(0.5);
		}
		assertThat(RetryAfter.seconds(100, -5, random)).isZero();
	}

}
