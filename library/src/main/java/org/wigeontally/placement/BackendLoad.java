package org.wigeontally.placement;

/**
 * Estimates the load of one backend server from the newest report, which its agent or its
 * answers carry, and from the requests that this entry sent or completed since. Used by
 * one thread.
 */
public final class BackendLoad {

	/**
	 * Age from which a report is not used. Agents report at least every 400 ms, so one
	 * datagram may be lost.
	 */
	public static final long MAX_REPORT_AGE_MS = 1_000;

	/**
	 * Time for which a backend server counts as full after a refusal, unless a report
	 * arrives. A full engine completes a few requests in it.
	 */
	private static final long REFUSAL_LIFETIME_MS = 300;

	private int reportedRequests;

	private long reportedAtMs = Long.MIN_VALUE / 2;

	private long refusedAtMs = Long.MIN_VALUE / 2;

	private int places;

	private int sentSinceReport;

	private int endedSinceReport;

	private int inFlight;

	private final SpeedEstimate speed = SpeedEstimate.create();

	// As the agent reported it; does not return to normal before its next report.
	private double reportedSlowdown = 1;

	private BackendLoad() {
	}

	/**
	 * Creates the load of a backend server without a report.
	 * @return the load
	 */
	public static BackendLoad create() {
		return new BackendLoad();
	}

	/**
	 * Sets the number of requests that the engine processes at the same time.
	 * @param newest the number; 0 if there is no engine
	 */
	public void setPlaces(int newest) {
		this.places = newest;
	}

	/**
	 * Records that the backend server refused a request without running it. A report that
	 * arrived after the sending is better evidence.
	 * @param sentAtMs when the request was sent, in milliseconds
	 * @param nowMs current time in milliseconds
	 */
	public void recordRefusal(long sentAtMs, long nowMs) {
		if (this.reportedAtMs >= sentAtMs) {
			return;
		}
		this.refusedAtMs = nowMs;
		this.reportedRequests = Math.max(requestsSinceReport(), this.places);
		this.sentSinceReport = 0;
		this.endedSinceReport = 0;
	}

	/**
	 * Records a report of the agent.
	 * @param requests requests that run or wait at the backend server
	 * @param slowdown slowdown factor of the engine, 1 at normal speed
	 * @param nowMs time of arrival in milliseconds
	 */
	public void recordReport(int requests, double slowdown, long nowMs) {
		recordRequests(requests, nowMs);
		this.reportedSlowdown = Math.max(1, slowdown);
		this.speed.recordReport(slowdown, nowMs);
	}

	/**
	 * Records a report that does not tell the speed.
	 * @param requests requests that run or wait at the backend server
	 * @param nowMs time of arrival in milliseconds
	 */
	public void recordRequests(int requests, long nowMs) {
		this.reportedRequests = requests;
		this.reportedAtMs = nowMs;
		this.sentSinceReport = 0;
		this.endedSinceReport = 0;
		this.refusedAtMs = Long.MIN_VALUE / 2;
	}

	/** Records that this entry sent a request. */
	public void recordSent() {
		this.inFlight++;
		this.sentSinceReport++;
	}

	/** Records that a request of this entry ended, successfully or not. */
	public void recordEnd() {
		this.inFlight--;
		this.endedSinceReport++;
	}

	/**
	 * Returns the number of this entry's requests that run at the backend server.
	 * @return number of requests
	 */
	public int inFlight() {
		return this.inFlight;
	}

	/**
	 * Returns the slowdown factor of the engine as its agent reported it last.
	 * @return 1 at normal speed, more if the engine is slower
	 */
	public double slowdownFactor() {
		return this.reportedSlowdown;
	}

	/**
	 * Returns the slowdown of a backend server whose speed changes many times a second.
	 * @return the estimate
	 */
	public SpeedEstimate speed() {
		return this.speed;
	}

	/**
	 * Returns the age of the newest report.
	 * @param nowMs current time in milliseconds
	 * @return milliseconds
	 */
	public long reportAgeMs(long nowMs) {
		return nowMs - this.reportedAtMs;
	}

	/**
	 * Estimates the requests of all entries at the backend server.
	 * @param nowMs current time in milliseconds
	 * @param entries number of entries; used if there is no recent report
	 * @return number of requests
	 */
	public int estimatedRequests(long nowMs, int entries) {
		int requests = isReportRecent(nowMs) ? requestsSinceReport() : unreportedRequests(nowMs, entries);
		return (nowMs <= refusalEndsAtMs()) ? Math.max(requests, this.places) : requests;
	}

	/**
	 * Returns the requests of this entry at an engine of which nothing else is known.
	 * @param nowMs current time in milliseconds
	 * @return number of requests; -1 if a report or a refusal is recent, or requests of
	 * other entries at the last one still count
	 */
	public int blindRequests(long nowMs) {
		boolean known = this.places <= 0 || isReportRecent(nowMs) || nowMs <= refusalEndsAtMs();
		return (known || rememberedRequests(nowMs) > 0) ? -1 : this.inFlight;
	}

	private long refusalEndsAtMs() {
		return this.refusedAtMs + REFUSAL_LIFETIME_MS;
	}

	private boolean isReportRecent(long nowMs) {
		return reportAgeMs(nowMs) <= MAX_REPORT_AGE_MS;
	}

	private int requestsSinceReport() {
		return Math.max(this.inFlight, this.reportedRequests + this.sentSinceReport - this.endedSinceReport);
	}

	private int unreportedRequests(long nowMs, int entries) {
		if (this.places <= 0) {
			return this.inFlight * Math.max(1, entries);
		}
		return this.inFlight + UnreportedLoad.ofOthers(rememberedRequests(nowMs), this.inFlight,
				Math.max(0, entries - 1), this.places);
	}

	private int rememberedRequests(long nowMs) {
		long overdueMs = nowMs - Math.max(this.reportedAtMs + MAX_REPORT_AGE_MS, refusalEndsAtMs());
		return UnreportedLoad.remembered(requestsSinceReport() - this.inFlight, Math.max(0, overdueMs));
	}

}
