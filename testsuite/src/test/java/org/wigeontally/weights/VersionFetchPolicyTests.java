package org.wigeontally.weights;

import org.testng.annotations.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Two versions named some seconds apart, on a link that carries one of them in 5 s.
 */
public class VersionFetchPolicyTests {

	private static final int CHUNKS = 96;

	private static final long FETCH_MS = 5_000;

	private static final long DEADLINE_MS = 6_700;

	/** Less than 3.3 s apart, the link cannot carry both before the later bound. */
	@Test
	public void bothVersionsArriveBeforeTheirDeadlines() {
		for (long gapMs = 3_400; gapMs < FETCH_MS; gapMs += 100) {
			long[] completedMs = completionTimesMs(gapMs);
			assertThat(completedMs[0]).as("older, %d ms apart", gapMs).isLessThanOrEqualTo(DEADLINE_MS);
			assertThat(completedMs[1]).as("newer, %d ms apart", gapMs).isLessThanOrEqualTo(gapMs + DEADLINE_MS);
		}
	}

	/** What was fetched of the older one is of no use, and it would be late. */
	@Test
	public void dropsAnOlderVersionWithFewChunks() {
		long[] completedMs = completionTimesMs(2_000);
		assertThat(completedMs[0]).isEqualTo(Long.MAX_VALUE);
		assertThat(completedMs[1]).isEqualTo(2_000 + FETCH_MS);
	}

	// The link is shared evenly by the versions that are on their way.
	private static long[] completionTimesMs(long gapMs) {
		double chunksPerMs = (double) CHUNKS / FETCH_MS;
		double olderChunks = 0;
		double newerChunks = 0;
		boolean dropped = false;
		long[] completedMs = { Long.MAX_VALUE, Long.MAX_VALUE };
		for (long nowMs = 1; newerChunks < CHUNKS; nowMs++) {
			if (nowMs == gapMs) {
				dropped = !VersionFetchPolicy.shouldFinish((int) olderChunks, CHUNKS);
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
