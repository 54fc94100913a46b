package org.wigeontally.fleet;

/**
 * Decides how often an agent reports the load of its engine to the entries.
 *
 * <p>
 * The older the reports are, the more entries send requests to the same free slots. In a
 * small fleet all entries can hear of an engine as often as its load changes. The message
 * rate of an agent must not grow with the number of entries, so the interval grows with
 * it instead. The entries of other regions send fewer requests to the engine, and the
 * links between regions are shared with weights and streams.
 */
public final class ReportSchedule {

	/** Longest interval of reports to the entries of other regions. */
	public static final long MAX_REMOTE_INTERVAL_MS = 400;

	/** Interval for each entry of the agent's region. */
	private static final long NEAR_INTERVAL_PER_ENTRY_MS = 10;

	/** Interval for each entry of other regions. */
	private static final long REMOTE_INTERVAL_PER_ENTRY_MS = 20;

	private ReportSchedule() {
	}

	/**
	 * Returns the shortest interval of reports to the entries of the agent's region.
	 * @param nearEntries number of these entries
	 * @return milliseconds
	 */
	public static long nearIntervalMs(int nearEntries) {
		return nearEntries * NEAR_INTERVAL_PER_ENTRY_MS;
	}

	/**
	 * Returns the interval of reports to the entries of other regions.
	 * @param remoteEntries number of these entries
	 * @return milliseconds
	 */
	public static long remoteIntervalMs(int remoteEntries) {
		return Math.min(MAX_REMOTE_INTERVAL_MS, remoteEntries * REMOTE_INTERVAL_PER_ENTRY_MS);
	}

}
