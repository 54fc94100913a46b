package org.wigeontally.fleet;

/**
 * The times between the announcement of a version of weights and its bound, after which
 * no request may begin on an older one. Entries and agents derive them from the bound
 * alone, so that engines load when the entries stop placing requests on them. All times
 * count from the announcement. Immutable.
 */
public final class VersionSchedule {

	/**
	 * Time between the last placement on an older version and the bound. A request that
	 * was placed is sent and waits in the engine's queue before it begins.
	 */
	private static final long PLACEMENT_MARGIN_MS = 1_300;

	/**
	 * Time by which engines may load before the last placement. An order follows its
	 * notice to the entries after about this time, so an engine that gives notice now
	 * begins to load when it would receive no more requests anyway.
	 */
	private static final long LOAD_NOTICE_LEAD_MS = 200;

	/**
	 * Time before the bound at which a request that has not begun on an older version is
	 * withdrawn. It covers the way to the engine, and an event loop that is held up, as
	 * by the decoding of a large record.
	 */
	private static final long WITHDRAWAL_LEAD_MS = 400;

	/**
	 * Longest delay of a message that is allowed for. An engine whose agent has died
	 * looks like one on a slow link, and is not left out for longer than this.
	 */
	private static final long MAX_MESSAGE_DELAY_MS = 2_000;

	private final long boundMs;

	private VersionSchedule(long boundMs) {
		this.boundMs = boundMs;
	}

	/**
	 * Creates the schedule of a version.
	 * @param boundMs milliseconds from the announcement until no request may begin on an
	 * older version
	 * @return the schedule
	 */
	public static VersionSchedule of(long boundMs) {
		return new VersionSchedule(boundMs);
	}

	/**
	 * Returns the delay of messages to an engine. While pieces of a new version fill the
	 * link of its host, requests, reports and the close that withdraws a request wait for
	 * each other, so what is known of it is the age of its last report.
	 * @param reportAgeMs age of the last report
	 * @param overdue whether another report should have come since
	 * @return milliseconds; 0 if reports come in time
	 */
	public static long messageDelayMs(long reportAgeMs, boolean overdue) {
		return overdue ? Math.min(MAX_MESSAGE_DELAY_MS, reportAgeMs) : 0;
	}

	/**
	 * Returns the time from which requests are no longer placed on an older version, if
	 * they reach the engine at once.
	 * @return milliseconds since the announcement
	 */
	public long placementEndMs() {
		return placementEndMs(0);
	}

	/**
	 * Returns the time from which requests are no longer placed on an older version.
	 * @param messageDelayMs time that a request may take to the engine
	 * @return milliseconds since the announcement
	 */
	public long placementEndMs(long messageDelayMs) {
		return Math.max(0, this.boundMs - PLACEMENT_MARGIN_MS - messageDelayMs);
	}

	/**
	 * Returns the time from which all engines with an older version may load at once.
	 * @return milliseconds since the announcement
	 */
	public long loadDeadlineMs() {
		return Math.max(0, placementEndMs() - LOAD_NOTICE_LEAD_MS);
	}

	/**
	 * Returns the time at which requests that wait at an engine with an older version are
	 * withdrawn.
	 * @param messageDelayMs time that the withdrawal may take to the engine
	 * @return milliseconds since the announcement
	 */
	public long withdrawalMs(long messageDelayMs) {
		return Math.max(0, this.boundMs - WITHDRAWAL_LEAD_MS - messageDelayMs);
	}

	@Override
	public String toString() {
		return "placement until " + placementEndMs() + " ms, load until " + loadDeadlineMs() + " ms, withdrawal at "
				+ withdrawalMs(0) + " ms, bound " + this.boundMs + " ms";
	}

}
