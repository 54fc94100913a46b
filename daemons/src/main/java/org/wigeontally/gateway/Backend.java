package org.wigeontally.gateway;

import java.util.HashMap;
import java.util.Map;

import org.wigeontally.fleet.BackendHealth;
import org.wigeontally.fleet.BackendLoad;
import org.wigeontally.fleet.BackendRecord;
import org.wigeontally.fleet.WarmupRateLimiter;
import org.wigeontally.harmful.Fingerprint;

/**
 * A registered backend server with what this entry knows of it. Runs on the event loop.
 */
final class Backend {

	private final BackendLoad load = BackendLoad.create();

	private final BackendHealth health = BackendHealth.create();

	private final BackendConnectionPool pool;

	private final WarmupRateLimiter warmupLimiter = WarmupRateLimiter.create();

	// Requests that run there now, for the case that it crashes.
	private final Map<Fingerprint, Integer> runningRequests = new HashMap<>();

	private BackendRecord record;

	private boolean removed;

	// Loaded version as its agent says; newer than the registration.
	private long agentLoadedVersion;

	private boolean loading;

	private boolean agentReported;

	private long agentIncarnation;

	private long agentSequence;

	private long lastReportAtMs;

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

	BackendHealth health() {
		return this.health;
	}

	BackendConnectionPool pool() {
		return this.pool;
	}

	WarmupRateLimiter warmupLimiter() {
		return this.warmupLimiter;
	}

	boolean isRemoved() {
		return this.removed;
	}

	void setRemoved(boolean isRemoved) {
		this.removed = isRemoved;
	}

	/**
	 * Drops reports that were overtaken on their way.
	 * @param incarnation start of the agent
	 * @param sequence number of the report, which grows within one incarnation
	 * @return true if the report is to be used
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

	void recordReport(long version, boolean isLoading, long nowMs) {
		this.agentLoadedVersion = version;
		this.loading = isLoading;
		this.agentReported = true;
		this.lastReportAtMs = nowMs;
	}

	/**
	 * Returns the version of weights that the backend server holds.
	 * @param model name of the model
	 * @param nowMs the time
	 * @return the version; 0 for none
	 */
	long loadedVersion(String model, long nowMs) {
		return hasRecentReport(nowMs) ? this.agentLoadedVersion : this.record.loadedVersions().getOrDefault(model, 0L);
	}

	void requestStarted(Fingerprint fingerprint) {
		this.runningRequests.merge(fingerprint, 1, Integer::sum);
	}

	void requestEnded(Fingerprint fingerprint) {
		this.runningRequests.computeIfPresent(fingerprint, (key, count) -> (count > 1) ? count - 1 : null);
	}

	Map<Fingerprint, Integer> runningRequests() {
		return this.runningRequests;
	}

}
