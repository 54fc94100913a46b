package org.wigeontally.weights;

/**
 * Decides whether an incomplete version is still fetched after a newer one was announced.
 *
 * <p>
 * Load pattern: versions are announced some seconds apart, on links that take some
 * seconds for each. Each version has a deadline, after which engines are of no use until
 * they have loaded it or a newer one. So the older version is dropped if the newer one
 * can be complete before the deadline of the older one; its chunks would only delay the
 * newer one. Otherwise it is finished first, unless that makes the newer one later than
 * the older one would have been. The time that a version takes is extrapolated from the
 * chunks that are held of the older one.
 *
 * <p>
 * The newer version waits only for a short time, because the older one may also get
 * stuck: its origin sends only the two newest versions.
 */
public final class VersionFetchPolicy {

	/**
	 * Time until the links of all hosts are in use, in which the origin sends the first
	 * chunk of each stripe. It is not extrapolated.
	 */
	private static final long START_MS = 600;

	/**
	 * Longest wait of the newer version. It is shorter than the time after which other
	 * hosts take over the fetches assigned to this host.
	 */
	private static final long MAX_WAIT_MS = 1_000;

	private VersionFetchPolicy() {
	}

	/**
	 * Returns whether a version is finished although a newer one was announced.
	 * @param heldChunks number of chunks that are held
	 * @param totalChunks number of chunks of each version
	 * @param fetchingMs time since the fetch of the version started
	 * @param remainingMs time until the version or a newer one has to be loaded
	 * @param newerRemainingMs time until the newer version has to be loaded
	 * @return false if the version is dropped
	 */
	public static boolean shouldFinish(int heldChunks, int totalChunks, long fetchingMs, long remainingMs,
			long newerRemainingMs) {
		if (heldChunks <= 0 || heldChunks >= totalChunks) {
			return heldChunks > 0;
		}
		double startMs = Math.min(START_MS, fetchingMs);
		double versionMs = startMs + (fetchingMs - startMs) * totalChunks / heldChunks;
		double finishMs = versionMs - fetchingMs;
		// Engines serve nothing until some version is whole. After an outage of the
		// origin both estimates are too long, and their sum would favour dropping.
		if (remainingMs <= 0) {
			return finishMs <= versionMs / 2;
		}
		double lateIfDropped = Math.max(0, versionMs - remainingMs);
		double lateIfFinished = Math.max(0, finishMs - remainingMs)
				+ Math.max(0, finishMs + versionMs - newerRemainingMs);
		return lateIfFinished < lateIfDropped;
	}

	/**
	 * Returns whether the fetch of the newer version may start.
	 * @param olderInProgress true if an older version is being finished
	 * @param waitedMs time since the newer version could have been started
	 * @return true if it may start
	 */
	public static boolean mayStartNewer(boolean olderInProgress, long waitedMs) {
		return !olderInProgress || waitedMs >= MAX_WAIT_MS;
	}

}
