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
final class OutsideWork {

	private static final long HISTORY_MS = 5_000;

	private final long startedMs;

	private final GateLimits limits;

	private final Deque<Sample> history = new ArrayDeque<>();

	private boolean known;

	private int bound;

	OutsideWork(long startedMs, GateLimits limits) {
		this.startedMs = startedMs;
		this.limits = limits;
		this.history.add(new Sample(startedMs, 0));
	}

	boolean known(long nowMs) {
		if (!this.known && !this.limits.reportsRunning()) {
			this.known = nowMs - this.startedMs >= this.limits.settleMs();
		}
		return this.known;
	}

	int bound() {
		return this.bound;
	}

	void ownRunning(long nowMs, int running) {
		if (this.bound == 0) {
			return;
		}
		this.history.addLast(new Sample(nowMs, running));
		while (this.history.size() > 1 && this.history.peekFirst().atMs < nowMs - HISTORY_MS) {
			this.history.removeFirst();
		}
	}

	void report(EngineReport report) {
		if (report.asOfMs() < this.startedMs) {
			return;
		}
		if (!this.known) {
			this.known = true;
			this.bound = report.running();
			return;
		}
		if (this.bound > 0 && report.asOfMs() >= this.history.peekFirst().atMs) {
			this.bound = Math.min(this.bound, Math.max(0, report.running() - leastSince(report.asOfMs())));
		}
	}

	private int leastSince(long instantMs) {
		int least = Integer.MAX_VALUE;
		int before = 0;
		for (Sample sample : this.history) {
			if (sample.atMs < instantMs) {
				before = sample.running;
			}
			else {
				least = Math.min(least, sample.running);
			}
		}
		return Math.min(least, before);
	}

	private record Sample(long atMs, int running) {

	}

}
