package org.wigeontally.placement;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;

/**
 * Engine of a {@link PlacementSimulation}. It reads prompts and decodes answers in
 * passes, and takes waiting requests by their priority between two passes.
 */
final class SimulatedEngine {

	private static final int PREFILL_TOKENS_PER_STEP = 2_048;

	private final Observer observer;

	private final List<Job> queue = new ArrayList<>();

	private final List<Job> batch = new ArrayList<>();

	private double busyUntilMs;

	private double unavailableFromMs = Double.MAX_VALUE;

	private double unavailableUntilMs = Double.MAX_VALUE;

	SimulatedEngine(Observer observer) {
		this.observer = observer;
	}

	void makeUnavailable(double fromMs, double untilMs) {
		this.unavailableFromMs = fromMs;
		this.unavailableUntilMs = untilMs;
	}

	boolean isUnavailable(double nowMs) {
		return nowMs >= this.unavailableFromMs && nowMs < this.unavailableUntilMs;
	}

	/** Returns the requests that run or wait. */
	int requestCount() {
		return this.queue.size() + this.batch.size();
	}

	void add(PlacementSimulation.Arrival arrival, int priority, double readyMs) {
		this.queue.add(new Job(arrival, priority, readyMs));
	}

	/** Starts a pass if the last one has ended and there are requests. */
	void advance(double nowMs, EngineProfile profile) {
		if (nowMs < this.busyUntilMs) {
			return;
		}
		List<Job> ready = new ArrayList<>(this.queue.stream().filter((job) -> job.readyMs <= nowMs).toList());
		ready.sort(Comparator.comparingInt((Job job) -> job.priority));
		while (this.batch.size() < profile.batchSlots() && !ready.isEmpty()) {
			Job next = ready.remove(0);
			this.queue.remove(next);
			this.batch.add(next);
		}
		if (this.batch.isEmpty()) {
			return;
		}
		runPass(nowMs, profile);
	}

	private void runPass(double nowMs, EngineProfile profile) {
		double lengthMs = prefill(profile);
		// A request whose prompt is completely read starts to decode in the same pass.
		List<Job> decoding = new ArrayList<>(this.batch.stream().filter((job) -> job.promptTokensLeft <= 0).toList());
		lengthMs += decoding.isEmpty() ? 0 : profile.passMs(decoding.size());
		lengthMs *= this.observer.slowdown(nowMs);
		this.busyUntilMs = nowMs + Math.max(1, lengthMs);
		for (Job job : decoding) {
			job.answerTokensLeft -= profile.stepsPerPass();
			sendEvent(job);
			if (job.answerTokensLeft <= 0) {
				this.batch.remove(job);
				this.observer.ended(job.arrival, nowMs, this.busyUntilMs);
			}
		}
	}

	private double prefill(EngineProfile profile) {
		double lengthMs = 0;
		double tokenBudget = PREFILL_TOKENS_PER_STEP * profile.stepsPerPass();
		for (Job job : this.batch) {
			if (job.promptTokensLeft > 0 && tokenBudget > 0) {
				double prefilledTokens = Math.min(tokenBudget, job.promptTokensLeft);
				job.promptTokensLeft -= prefilledTokens;
				tokenBudget -= prefilledTokens;
				lengthMs += profile.prefillMs((int) prefilledTokens);
			}
		}
		return lengthMs;
	}

	private void sendEvent(Job job) {
		if (job.firstEventSent) {
			this.observer.nextEvent(job.arrival, this.busyUntilMs, this.busyUntilMs - job.lastEventMs);
		}
		else {
			job.firstEventSent = true;
			this.observer.firstEvent(job.arrival, this.busyUntilMs);
		}
		job.lastEventMs = this.busyUntilMs;
	}

	/** Observes the requests of an engine, and sets its speed. */
	interface Observer {

		/** Returns how much slower than usual the engine works. */
		double slowdown(double nowMs);

		void firstEvent(PlacementSimulation.Arrival arrival, double sentMs);

		void nextEvent(PlacementSimulation.Arrival arrival, double sentMs, double pauseMs);

		/** Called when a pass starts that completes an answer. */
		void ended(PlacementSimulation.Arrival arrival, double passStartMs, double endMs);

	}

	private static final class Job {

		private final PlacementSimulation.Arrival arrival;

		private final int priority;

		private final double readyMs;

		private double promptTokensLeft;

		private int answerTokensLeft;

		private boolean firstEventSent;

		private double lastEventMs;

		private Job(PlacementSimulation.Arrival arrival, int priority, double readyMs) {
			this.arrival = arrival;
			this.priority = priority;
			this.readyMs = readyMs;
			this.promptTokensLeft = arrival.promptTokens();
			this.answerTokensLeft = arrival.answerTokens();
		}

	}

}
