package org.wigeontally.weights;

/**
 * Decides what becomes of a version that is not whole when a newer one is named.
 *
 * <p>
 * The load pattern: versions are named some seconds apart, and each has a bound after
 * which nothing may run on an older one. Two versions on their way at once share the
 * hosts' links, and both arrive after their bounds. So a version of which little is here
 * is dropped, and one that is nearly here is finished before the newer one is begun. The
 * wait is short, since a version may also get stuck: its origin sends the two newest
 * only.
 */
public final class VersionFetchPolicy {

	/** Part of a version that must be held for it to be finished first. */
	private static final double MIN_FINISH_FRACTION = 0.5;

	/**
	 * Longest wait of the newer version, milliseconds; below the time after which other
	 * hosts take over its duties.
	 */
	private static final long MAX_WAIT_MS = 1_000;

	private VersionFetchPolicy() {
	}

	/**
	 * Decides whether a version is finished although a newer one was named.
	 * @param held pieces that are held
	 * @param pieces all pieces
	 * @return false if it is to be dropped
	 */
	public static boolean shouldFinish(int heldChunks, int totalChunks) {
		return heldChunks >= totalChunks * MIN_FINISH_FRACTION;
	}

	/**
	 * Decides whether the newer version is begun.
	 * @param olderOnTheWay true if an older version is kept and not whole
	 * @param waitedMs time since the newer one could have been begun
	 * @return true if it is
	 */
	public static boolean mayStartNewer(boolean olderInProgress, long waitedMs) {
		return !olderInProgress || waitedMs >= MAX_WAIT_MS;
	}

}
