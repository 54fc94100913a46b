package org.wigeontally.weights;

import org.testng.annotations.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Two versions named some seconds apart, on a link that carries one of them in 5 s.
 */
public class SpreadTurnTests {

	private static final int PIECES = 96;

	private static final long SPREAD_MS = 5_000;

	private static final long BOUND_MS = 6_700;

	/** Less than 3.3 s apart, the link cannot carry both before the later bound. */
	@Test
	public void bothVersionsArriveBeforeTheirBounds() {
		for (long gapMs = 3_400; gapMs < SPREAD_MS; gapMs += 100) {
			long[] wholeMs = wholeMs(gapMs);
			assertThat(wholeMs[0]).as("older, %d ms apart", gapMs).isLessThanOrEqualTo(BOUND_MS);
			assertThat(wholeMs[1]).as("newer, %d ms apart", gapMs).isLessThanOrEqualTo(gapMs + BOUND_MS);
		}
	}

	/** What was fetched of the older one is of no use, and it would be late. */
	@Test
	public void versionOfWhichLittleIsHereIsDropped() {
		long[] wholeMs = wholeMs(2_000);
		assertThat(wholeMs[0]).isEqualTo(Long.MAX_VALUE);
		assertThat(wholeMs[1]).isEqualTo(2_000 + SPREAD_MS);
	}

	// The link is shared evenly by the versions that are on their way.
	private static long[] wholeMs(long gapMs) {
		double perMs = (double) PIECES / SPREAD_MS;
		double older = 0;
		double newer = 0;
		boolean dropped = false;
		long[] whole = { Long.MAX_VALUE, Long.MAX_VALUE };
		for (long nowMs = 1; newer < PIECES; nowMs++) {
			if (nowMs == gapMs) {
				dropped = !VersionFetchPolicy.shouldFinish((int) older, PIECES);
			}
			boolean olderOnTheWay = !dropped && older < PIECES;
			boolean newerOnTheWay = nowMs >= gapMs && VersionFetchPolicy.mayStartNewer(olderOnTheWay, nowMs - gapMs);
			double part = (olderOnTheWay && newerOnTheWay) ? perMs / 2 : perMs;
			older += olderOnTheWay ? part : 0;
			newer += newerOnTheWay ? part : 0;
			if (olderOnTheWay && older >= PIECES) {
				whole[0] = nowMs;
			}
			if (newer >= PIECES) {
				whole[1] = nowMs;
			}
		}
		return whole;
	}

}
