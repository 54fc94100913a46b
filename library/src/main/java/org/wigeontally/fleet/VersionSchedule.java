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
	 * Returns the time from which requests are no longer placed on an older version.
	 * @return milliseconds since the announcement
	 */
	public long placementEndMs() {
		return Math.max(0, this.boundMs - PLACEMENT_MARGIN_MS);
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
	 * @return milliseconds since the announcement
	 */
	public long withdrawalMs() {
		return Math.max(0, this.boundMs - WITHDRAWAL_LEAD_MS);
	}

	@Override
	public String toString() {
		return "placement until " + placementEndMs() + " ms, load until " + loadDeadlineMs() + " ms, withdrawal at "
				+ withdrawalMs() + " ms, bound " + this.boundMs + " ms";
	}

}
