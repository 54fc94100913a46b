package org.wigeontally.admission;

import java.util.ArrayDeque;
import java.util.Deque;

/**
 * Maintains an upper bound on the number of requests that were sent before this instance
 * was created and that still run at the backend server. An instance is created when the
 * agent starts and when the backend server responds again after it was down.
 *
 * <p>
 * A restarted agent does not know the requests of the previous agent process, and reports
 * of the engine lag. Nothing may be admitted until a report arrives that describes a time
 * after the creation of this instance, or, if the backend server does not report its
 * running requests, until a timeout has passed. Since nothing was sent in the meantime,
 * all requests in the first report are inherited, and their number can only decrease. A
 * later report counts the inherited requests plus the requests that this agent was
 * running at some time since the time of the report. Subtracting the minimum of this
 * agent's running requests over that period gives an upper bound. Not thread-safe; calls
 * are serialised by the owner of the controller.
 */
final class InheritedRequests {

	private static final long HISTORY_MS = 5_000;

	private final long startedMs;

	private final AdmissionLimits limits;

	private final Deque<Sample> history = new ArrayDeque<>();

	private boolean known;

	private int upperBound;

	InheritedRequests(long startedMs, AdmissionLimits limits) {
		this.startedMs = startedMs;
		this.limits = limits;
		this.history.add(new Sample(startedMs, 0));
	}

	boolean isKnown(long nowMs) {
		if (!this.known && !this.limits.reportsRunning()) {
			this.known = nowMs - this.startedMs >= this.limits.inheritedRequestTimeoutMs();
		}
		return this.known;
	}

	int upperBound() {
		return this.upperBound;
	}

	void recordOwnRunning(long nowMs, int running) {
		if (this.upperBound == 0) {
			return;
		}
		this.history.addLast(new Sample(nowMs, running));
		while (this.history.size() > 1 && this.history.peekFirst().atMs < nowMs - HISTORY_MS) {
			this.history.removeFirst();
		}
	}

	void applyReport(EngineReport report) {
		if (report.asOfMs() < this.startedMs) {
			return;
		}
		if (!this.known) {
			this.known = true;
			this.upperBound = report.running();
			return;
		}
		if (this.upperBound > 0 && report.asOfMs() >= this.history.peekFirst().atMs) {
			this.upperBound = Math.min(this.upperBound,
					Math.max(0, report.running() - minOwnRunningSince(report.asOfMs())));
		}
	}

	private int minOwnRunningSince(long instantMs) {
		int minRunning = Integer.MAX_VALUE;
		int runningBefore = 0;
		for (Sample sample : this.history) {
			if (sample.atMs < instantMs) {
				runningBefore = sample.running;
			}
			else {
				minRunning = Math.min(minRunning, sample.running);
			}
		}
		return Math.min(minRunning, runningBefore);
	}

	private record Sample(long atMs, int running) {

	}

}
