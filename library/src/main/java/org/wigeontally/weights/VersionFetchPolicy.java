package org.wigeontally.weights;

/**
 * Decides whether an incomplete version is still fetched after a newer one was announced.
 *
 * <p>
 * Versions are announced some seconds apart, and each has a deadline after which no
 * request may run on an older one. Two versions that are fetched at once share the hosts'
 * links, and both arrive after their deadlines. So a version of which few chunks are held
 * is dropped, and one that is nearly complete is finished before the newer one is
 * started. The wait is short because a version may also get stuck: its origin sends only
 * the two newest versions.
 */
public final class VersionFetchPolicy {

	/** Fraction of the chunks that must be held for a version to be finished first. */
	private static final double MIN_FINISH_FRACTION = 0.5;

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
	 * @param totalChunks number of chunks of the version
	 * @return false if the version is dropped
	 */
	public static boolean shouldFinish(int heldChunks, int totalChunks) {
		return heldChunks >= totalChunks * MIN_FINISH_FRACTION;
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
