package org.wigeontally.fleet;

import java.util.ArrayList;
import java.util.List;

import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

import org.wigeontally.schema.generated.Address;
import org.wigeontally.schema.generated.EntryNews;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Limits that hold for the sum over all entries without coordination between them: the
 * retry budget and the warm-up rate of cold backend servers. Also the retry time of
 * rejected requests.
 */
public class EntryRateLimitTests {

	/**
	 * All entries retry every request at the same time; the sum of retries stays within
	 * the budget.
	 */
	@Test
	public void retriesOfAllEntriesStayWithinTheBudget() {
		int entries = 9;
		double ratio = 0.2;
		double slack = 104;
		int requests = 0;
		int retries = 0;
		for (int entry = 0; entry < entries; entry++) {
			RetryBudgetShare budgetShare = RetryBudgetShare.of(ratio, slack, 10_000).setMaxEntries(entries);
			for (long nowMs = 0; nowMs < 10_000; nowMs += 100) {
				budgetShare.recordRequest(nowMs);
				requests++;
				retries += budgetShare.tryAcquireRetry(nowMs) ? 1 : 0;
			}
		}
		assertThat(retries).isPositive().isLessThanOrEqualTo((int) (ratio * requests + slack));
	}

	@Test
	public void retriesAreAllowedAgainAfterTheWindow() {
		RetryBudgetShare budgetShare = RetryBudgetShare.of(0, 2, 1_000);
		assertThat(budgetShare.tryAcquireRetry(0)).isTrue();
		assertThat(budgetShare.tryAcquireRetry(10)).isFalse();
		assertThat(budgetShare.tryAcquireRetry(1_100)).isTrue();
	}

	/**
	 * Three entries are added to nine after some of these have already sent retries.
	 */
	@Test
	public void retriesStayWithinTheBudgetWhenEntriesAreAdded() {
		int entriesBefore = 9;
		int entriesAfter = 12;
		double slack = 104;
		int retries = 0;
		for (int entry = 0; entry < entriesAfter; entry++) {
			RetryBudgetShare budgetShare = RetryBudgetShare.of(0, slack, 10_000).setMaxEntries(entriesBefore);
			boolean early = entry < entriesBefore / 2;
			for (long nowMs = early ? 0 : 100; nowMs < 10_000; nowMs += 100) {
				if (nowMs >= 100) {
					budgetShare.setMaxEntries(entriesAfter);
				}
				retries += budgetShare.tryAcquireRetry(nowMs) ? 1 : 0;
			}
		}
		assertThat(retries).isPositive().isLessThanOrEqualTo((int) slack);
	}

	@DataProvider
	public Object[][] fleets() {
		return new Object[][] { { 12, 3, 36 }, { 49, 5, 14 }, { 6, 3, 38 }, { 14, 5, 14 }, { 980, 6, 15 } };
	}

	/** An availability zone returns cold, and all entries send as much as they may. */
	@Test(dataProvider = "fleets")
	public void requestsOfAllEntriesStayWithinTheWarmupRate(int entries, int regions, int warmupRequestsPerSecond) {
		double warmupPerSecond = warmupRequestsPerSecond * 1.5 + 5;
		for (String backendId : List.of("b-1", "b-2", "b-3")) {
			int sent = 0;
			for (int entry = 0; entry < entries; entry++) {
				sent += sendAll(limiter(warmupPerSecond, backendId, entry, entries, regions));
			}
			assertThat(sent).isPositive().isLessThanOrEqualTo((int) warmupPerSecond);
		}
	}

	/**
	 * The entries of a region send what its warm engines can bear. With equal shares of
	 * all entries, 49 entries would have one request each.
	 */
	@Test
	public void entriesOfTheRegionMaySendWhatWarmEnginesBear() {
		double warmupPerSecond = 14 * 1.5 + 5;
		int sent = 0;
		for (int entry = 0; entry < 49; entry += 5) {
			sent += sendAll(limiter(warmupPerSecond, "b-1", entry, 49, 5));
		}
		assertThat(sent).isGreaterThan(17);
	}

	private static WarmupRateLimiter limiter(double warmupPerSecond, String backendId, int entry, int entries,
			int regions) {
		List<EntryNews> others = new ArrayList<>();
		for (int other = 0; other < entries; other++) {
			if (other != entry) {
				others.add(entryNews(other, regions));
			}
		}
		WarmupRateLimiter limiter = WarmupRateLimiter.create();
		limiter.setLimit(WarmupShare.requestsPerSecond(warmupPerSecond, backendId, "region-0",
				entryNews(entry, regions), others));
		return limiter;
	}

	private static EntryNews entryNews(int number, int regions) {
		return EntryNews.newBuilder()
			.setControl(Address.newBuilder().setIp("10.0.0.1").setPort(1 + number))
			.setRegion("region-" + number % regions)
			.build();
	}

	private static int sendAll(WarmupRateLimiter limiter) {
		int sent = 0;
		for (long nowMs = 0; nowMs < 1_000; nowMs += 5) {
			if (limiter.hasCapacity(nowMs)) {
				limiter.reserve();
				limiter.recordSent(nowMs);
				sent++;
			}
		}
		return sent;
	}

	/**
	 * All engines return at the same time, and connections to them take a while to open.
	 * Requests that wait for a connection must count against the limit.
	 */
	@Test
	public void requestsWaitingForConnectionsUseCapacity() {
		double warmupPerSecond = 26 * 1.5 + 5;
		int entries = 9;
		int sent = 0;
		for (int entry = 0; entry < entries; entry++) {
			WarmupRateLimiter limiter = limiter(warmupPerSecond, "b-1", entry, entries, 3);
			int waiting = 0;
			for (long nowMs = 0; nowMs < 500; nowMs += 20) {
				if (limiter.hasCapacity(nowMs)) {
					limiter.reserve();
					waiting++;
				}
			}
			for (int i = 0; i < waiting; i++) {
				limiter.recordSent(500);
				sent++;
			}
			assertThat(limiter.hasCapacity(500)).isFalse();
		}
		assertThat(sent).isPositive().isLessThanOrEqualTo((int) warmupPerSecond);
	}

	@Test
	public void releasedReservationFreesCapacity() {
		WarmupRateLimiter limiter = WarmupRateLimiter.create();
		limiter.setLimit(1);
		limiter.reserve();
		assertThat(limiter.hasCapacity(0)).isFalse();
		limiter.release();
		assertThat(limiter.hasCapacity(0)).isTrue();
	}

	@Test
	public void retryAfterIsAtMostAThirdOfTheRemainingTime() {
		java.util.random.RandomGenerator random = new java.util.Random(1);
		for (int i = 0; i < 100; i++) {
			double seconds = RetryAfter.seconds(5_000, 1_500, random);
			assertThat(seconds).isLessThanOrEqualTo(0.5);
		}
		assertThat(RetryAfter.seconds(100, -5, random)).isZero();
	}

}
