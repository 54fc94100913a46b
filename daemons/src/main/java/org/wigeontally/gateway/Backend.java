package org.wigeontally.gateway;

import java.util.Collections;
import java.util.LinkedHashSet;
import java.util.Set;

import org.wigeontally.fleet.BackendHealth;
import org.wigeontally.fleet.BackendRecord;
import org.wigeontally.fleet.VersionSchedule;
import org.wigeontally.fleet.WarmupRateLimiter;
import org.wigeontally.limits.BackendLimit;
import org.wigeontally.limits.PermitGrant;
import org.wigeontally.limits.PermitIssuer;
import org.wigeontally.limits.PermitQueue;
import org.wigeontally.placement.BackendLoad;
import org.wigeontally.placement.EngineBacklog;

/**
 * A registered backend server with the load, health and connections that this entry
 * tracks for it. Runs on the event loop.
 */
final class Backend {

	private final BackendLoad load = BackendLoad.create();

	private final EngineBacklog backlog = EngineBacklog.create();

	private final BackendHealth health = BackendHealth.create();

	private final BackendConnectionPool pool;

	private final WarmupRateLimiter warmupLimiter = WarmupRateLimiter.create();

	private final BackendLimit limit = BackendLimit.create();

	private final PermitQueue permits = PermitQueue.create();

	// Set once this entry has coordinated the permits.
	private PermitIssuer permitIssuer;

	// Attempts that were sent and have not ended.
	private final Set<BackendAttempt> runningAttempts = new LinkedHashSet<>();

	private BackendRecord record;

	private boolean removed;

	private boolean leaving;

	// Loaded version that the agent reported; more recent than the one in the
	// registration.
	private long agentLoadedVersion;

	private boolean loading;

	private boolean agentReported;

	private long agentIncarnation;

	private long agentSequence;

	private long lastReportAtMs;

	private long lastReceivedMs = Long.MIN_VALUE / 2;

	Backend(BackendRecord record, BackendConnectionPool pool) {
		this.record = record;
		this.pool = pool;
	}

	BackendRecord record() {
		return this.record;
	}

	void setRecord(BackendRecord newest) {
		this.record = newest;
	}

	BackendLoad load() {
		return this.load;
	}

	EngineBacklog backlog() {
		return this.backlog;
	}

	BackendHealth health() {
		return this.health;
	}

	BackendConnectionPool pool() {
		return this.pool;
	}

	WarmupRateLimiter warmupLimiter() {
		return this.warmupLimiter;
	}

	BackendLimit limit() {
		return this.limit;
	}

	PermitQueue permits() {
		return this.permits;
	}

	/**
	 * Issues permits as the coordinator of this backend server.
	 * @param count number of permits that an entry asks for
	 * @param share part of the limit that may be used
	 * @param entries number of entries that may ask
	 * @param nowMs the current time
	 * @return the answer
	 */
	PermitGrant issuePermits(int count, double share, int entries, long nowMs) {
		double perSecond = this.limit.perSecond() * share;
		if (this.permitIssuer == null) {
			this.permitIssuer = PermitIssuer.create(perSecond, nowMs);
		}
		return this.permitIssuer.issue(count, perSecond, entries, nowMs);
	}

	/**
	 * Returns whether requests need permits, and none is available now.
	 * @param nowMs the current time
	 * @return true if the limit is used up
	 */
	boolean isLimitUsedUp(long nowMs) {
		return this.limit.isNamed() && this.permits.heldMs(nowMs) > 0;
	}

	boolean isRemoved() {
		return this.removed;
	}

	void setRemoved(boolean isRemoved) {
		this.removed = isRemoved;
	}

	/**
	 * Returns whether the backend server is to get no new requests because it stops soon.
	 * @return true if its registration or one of its responses says so
	 */
	boolean isLeaving() {
		return this.leaving || this.record.draining();
	}

	/**
	 * Records that a response of the backend server says that it stops soon. This holds
	 * until it registers another process.
	 * @return true if this is new
	 */
	boolean recordLeaving() {
		boolean isNew = !this.leaving;
		this.leaving = true;
		return isNew;
	}

	/**
	 * Returns whether a response said that the backend server stops soon.
	 * @return true if one did
	 */
	boolean hasSaidLeaving() {
		return this.leaving;
	}

	/**
	 * Returns whether no request may be sent now, although the backend server is
	 * registered.
	 * @param nowMs the current time
	 * @param ownRequests requests that the caller has counted in already
	 * @return true if it is leaving, removed or has asked for a pause
	 */
	boolean isClosed(long nowMs, int ownRequests) {
		return this.removed || isLeaving() || this.health.isPaused(nowMs, this.load.inFlight() - ownRequests);
	}

	/**
	 * Checks whether a report is newer than the last one, and if so records its sequence
	 * number. Reports can arrive out of order.
	 * @param incarnation identifies a start of the agent process
	 * @param sequence number of the report, increasing within one incarnation
	 * @return true if the report is to be used; false if it is outdated
	 */
	boolean acceptReportSequence(long incarnation, long sequence) {
		if (incarnation == this.agentIncarnation && sequence <= this.agentSequence) {
			return false;
		}
		this.agentIncarnation = incarnation;
		this.agentSequence = sequence;
		return true;
	}

	boolean isLoading(long nowMs) {
		return this.loading && hasRecentReport(nowMs);
	}

	boolean hasRecentReport(long nowMs) {
		return this.agentReported && nowMs - this.lastReportAtMs <= BackendLoad.MAX_REPORT_AGE_MS;
	}

	boolean isReportOverdue(long nowMs) {
		return this.agentReported && !hasRecentReport(nowMs);
	}

	/**
	 * Returns the time that messages to the backend server may take, by the reports of
	 * its agent.
	 * @param nowMs the current time
	 * @return milliseconds; 0 if reports come in time, or it has no agent
	 */
	long messageDelayMs(long nowMs) {
		return VersionSchedule.messageDelayMs(nowMs - this.lastReportAtMs, isReportOverdue(nowMs));
	}

	void recordReport(long version, boolean isLoading, long nowMs) {
		this.agentLoadedVersion = version;
		this.loading = isLoading;
		this.agentReported = true;
		this.lastReportAtMs = nowMs;
	}

	/**
	 * Returns the version of the weights that the backend server has loaded: as its agent
	 * reported it, or as it registered if there is no recent report.
	 * @param model name of the model
	 * @param nowMs the current time
	 * @return the version; 0 if none is loaded
	 */
	long loadedVersion(String model, long nowMs) {
		return hasRecentReport(nowMs) ? this.agentLoadedVersion : this.record.loadedVersions().getOrDefault(model, 0L);
	}

	/**
	 * Records that the backend server has sent something in response to a request.
	 * @param nowMs the current time
	 */
	void recordReceived(long nowMs) {
		this.lastReceivedMs = nowMs;
	}

	/**
	 * Returns for how long the backend server has sent nothing while requests ran.
	 * @param nowMs the current time
	 * @return milliseconds; 0 if no request runs there
	 */
	long silentMs(long nowMs) {
		if (this.runningAttempts.isEmpty()) {
			return 0;
		}
		long oldestSentMs = this.runningAttempts.iterator().next().sentAtMs();
		return nowMs - Math.max(this.lastReceivedMs, oldestSentMs);
	}

	void attemptStarted(BackendAttempt attempt) {
		this.runningAttempts.add(attempt);
	}

	void attemptEnded(BackendAttempt attempt) {
		this.runningAttempts.remove(attempt);
	}

	/**
	 * Returns the attempts that run there now; if it crashes, they are suspected of it.
	 * @return the attempts in the order in which they were sent
	 */
	Set<BackendAttempt> runningAttempts() {
		return Collections.unmodifiableSet(this.runningAttempts);
	}

}
