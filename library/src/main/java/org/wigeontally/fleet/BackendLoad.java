package org.wigeontally.fleet;

/**
 * What an entry knows of the load of one backend server: the newest report of its agent
 * or of its answers, and the entry's own requests since. Used by one thread.
 */
public final class BackendLoad {

	/**
	 * Age from which a report says nothing any more; agents report at least every 300 ms.
	 */
	public static final long MAX_REPORT_AGE_MS = 700;

	private int reportedRequests;

	private long reportedAtMs = Long.MIN_VALUE / 2;

	private int sentSinceReport;

	private int endedSinceReport;

	private int inFlight;

	private double slowdownFactor = 1;

	private BackendLoad() {
	}

	/**
	 * Creates the knowledge of a backend server that nothing was heard of.
	 * @return the load
	 */
	public static BackendLoad create() {
		return new BackendLoad();
	}

	/**
	 * Takes a report.
	 * @param requests requests in the batch and waiting
	 * @param reportedPace pace of the engine, 1 if normal
	 * @param nowMs time of arrival
	 */
	public void recordReport(int requests, double reportedSlowdown, long nowMs) {
		this.reportedRequests = requests;
		this.slowdownFactor = Math.max(1, reportedSlowdown);
		this.reportedAtMs = nowMs;
		this.sentSinceReport = 0;
		this.endedSinceReport = 0;
	}

	/**
	 * Counts a request that is sent.
	 */
	public void recordSent() {
		this.inFlight++;
		this.sentSinceReport++;
	}

	/**
	 * Counts a request that has ended, whatever its outcome.
	 */
	public void recordEnd() {
		this.inFlight--;
		this.endedSinceReport++;
	}

	/**
	 * Returns the entry's own requests at the backend server.
	 * @return number of requests
	 */
	public int inFlight() {
		return this.inFlight;
	}

	/**
	 * Returns the pace of the engine.
	 * @return 1 if normal, more if slow
	 */
	public double slowdownFactor() {
		return this.slowdownFactor;
	}

	/**
	 * Returns the age of the report.
	 * @param nowMs the time
	 * @return milliseconds
	 */
	public long reportAgeMs(long nowMs) {
		return nowMs - this.reportedAtMs;
	}

	/**
	 * Estimates the requests that all entries together have at the backend server.
	 * @param nowMs the time
	 * @param entries number of entries, for the case that no report is fresh
	 * @return number of requests
	 */
	public int estimatedRequests(long nowMs, int entries) {
		if (reportAgeMs(nowMs) > MAX_REPORT_AGE_MS) {
			return this.inFlight * Math.max(1, entries);
		}
		return Math.max(this.inFlight, this.reportedRequests + this.sentSinceReport - this.endedSinceReport);
	}

}
