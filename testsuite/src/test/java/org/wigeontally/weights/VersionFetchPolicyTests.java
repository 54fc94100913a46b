package org.wigeontally.weights;

import org.testng.annotations.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Simulates two versions that are announced some seconds apart, on a link that carries
 * one of them in 5 s.
 */
public class VersionFetchPolicyTests {

	private static final int CHUNKS = 96;

	private static final long FETCH_MS = 5_000;

	private static final long DEADLINE_MS = 6_700;

	/**
	 * Starts at a gap of 3.4 s: with less than 3.3 s, the link cannot carry both versions
	 * before the later deadline.
	 */
	@Test
	public void bothVersionsArriveBeforeTheirDeadlines() {
		for (long gapMs = 3_400; gapMs < FETCH_MS; gapMs += 100) {
			long[] completionTimesMs = completionTimesMs(gapMs);
			assertThat(completionTimesMs[0]).as("older, %d ms apart", gapMs).isLessThanOrEqualTo(DEADLINE_MS);
			assertThat(completionTimesMs[1]).as("newer, %d ms apart", gapMs).isLessThanOrEqualTo(gapMs + DEADLINE_MS);
		}
	}

	/**
	 * The chunks fetched of the older version are wasted, but finishing it would miss its
	 * deadline.
	 */
	@Test
	public void dropsAnOlderVersionWithFewChunks() {
		long[] completionTimesMs = completionTimesMs(2_000);
		assertThat(completionTimesMs[0]).isEqualTo(Long.MAX_VALUE);
		assertThat(completionTimesMs[1]).isEqualTo(2_000 + FETCH_MS);
	}

	/**
	 * A version takes 4.3 s, two are announced 3 s apart, and each has to be loaded 8.2 s
	 * after its announcement. The newer one, fetched alone, is complete in time for both,
	 * and engines load once. Guards against finishing a version of which most chunks are
	 * held: both were then complete at their deadlines and loaded by all engines at once.
	 */
	@Test
	public void dropsAnOlderVersionWhoseDeadlineTheNewerMeets() {
		assertThat(VersionFetchPolicy.shouldFinish(65, CHUNKS, 3_000, 5_200, 8_200)).isFalse();
		assertThat(VersionFetchPolicy.shouldFinish(CHUNKS, CHUNKS, 3_000, 5_200, 8_200)).isTrue();
	}

	/** As above, but the newer one would arrive a second after the older deadline. */
	@Test
	public void finishesAnOlderVersionWhoseDeadlineTheNewerMisses() {
		assertThat(VersionFetchPolicy.shouldFinish(65, CHUNKS, 3_000, 3_200, 6_500)).isTrue();
	}

	/**
	 * Guards against dropping the version that would be whole first when the origin is
	 * back after an outage of 6 s: no engine had a usable version for 8 s.
	 */
	@Test
	public void finishesAnAlmostWholeVersionWhoseDeadlineHasPassed() {
		int total = 96;
		assertThat(VersionFetchPolicy.shouldFinish(80, total, 8_500, -100, 2_900)).isTrue();
		assertThat(VersionFetchPolicy.shouldFinish(10, total, 8_500, -100, 2_900)).isFalse();
	}

	// Returns when the older and the newer version are complete. Versions that are
	// fetched at the same time share the link evenly.
	private static long[] completionTimesMs(long gapMs) {
		double chunksPerMs = (double) CHUNKS / FETCH_MS;
		double olderChunks = 0;
		double newerChunks = 0;
		boolean dropped = false;
		long[] completedMs = { Long.MAX_VALUE, Long.MAX_VALUE };
		for (long nowMs = 1; newerChunks < CHUNKS; nowMs++) {
			if (nowMs == gapMs) {
				dropped = !VersionFetchPolicy.shouldFinish((int) olderChunks, CHUNKS, gapMs, DEADLINE_MS - gapMs,
						DEADLINE_MS);
			}
			boolean olderInProgress = !dropped && olderChunks < CHUNKS;
			boolean newerInProgress = nowMs >= gapMs
					&& VersionFetchPolicy.mayStartNewer(olderInProgress, nowMs - gapMs);
			double fetchedPerMs = (olderInProgress && newerInProgress) ? chunksPerMs / 2 : chunksPerMs;
			olderChunks += olderInProgress ? fetchedPerMs : 0;
			newerChunks += newerInProgress ? fetchedPerMs : 0;
			if (olderInProgress && olderChunks >= CHUNKS) {
				completedMs[0] = nowMs;
			}
			if (newerChunks >= CHUNKS) {
				completedMs[1] = nowMs;
			}
		}
		return completedMs;
	}

}
