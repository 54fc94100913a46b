package org.wigeontally.admission;

import java.util.ArrayDeque;
import java.util.Deque;

/**
 * Bounds the requests that run at the backend server and were sent by an earlier agent.
 *
 * <p>
 * An agent that restarts knows nothing of them, and the report of the engine lags. Until
 * a report that is true of an instant after the start, nothing may be admitted; as
 * nothing was sent until then, all that the report counts is outside work. From then on
 * it can only shrink: a later report counts outside work plus what this agent had running
 * at some instant since the report's own, so subtracting the least of that is an upper
 * bound. Used by the gate's thread.
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
