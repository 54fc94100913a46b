package org.wigeontally.placement;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.PriorityQueue;
import java.util.Random;

/**
 * Simulates engine placement in virtual time. Entries place requests by their estimates
 * of the engines' load, which come from periodic reports. Engines process requests in
 * passes, as specified by the platform.
 */
class EngineSimulation {

	static final EngineProfile PROFILE = new EngineProfile(16, 317_000, 9.27, 0.0232, 0.0322, 20.7, 1.18, 5, 979, 92,
			List.of("m"), 16, 96, 24_576);

	static final double TARGET_MS = 450;

	private static final double DEADLINE_MS = 6_000;

	private static final double NETWORK_MS = 5;

	private static final long DEFAULT_REPORT_INTERVAL_MS = 75;

	private final EngineProfile profile;

	private final Random random;

	private final List<Engine> engines = new ArrayList<>();

	private final BackendLoad[][] loads;

	private final PlacementStrategy strategy;

	private long reportIntervalMs = DEFAULT_REPORT_INTERVAL_MS;

	private final PriorityQueue<Arrival> arrivals = new PriorityQueue<>(Comparator.comparingDouble(Arrival::atMs));

	private int requests;

	private int onTime;

	private int late;

	private int rejected;

	EngineSimulation(int entries, int engineCount, long seed, PlacementStrategy strategy) {
		this(PROFILE, entries, engineCount, seed, strategy);
	}

	EngineSimulation(EngineProfile profile, int entries, int engineCount, long seed, PlacementStrategy strategy) {
		this.profile = profile;
		this.random = new Random(seed);
		this.strategy = strategy;
		this.loads = new BackendLoad[entries][engineCount];
		for (int engine = 0; engine < engineCount; engine++) {
			this.engines.add(new Engine());
			for (int entry = 0; entry < entries; entry++) {
				this.loads[entry][engine] = BackendLoad.create();
			}
		}
	}

	EngineSimulation reportEveryMs(long intervalMs) {
		this.reportIntervalMs = intervalMs;
		return this;
	}

	void addArrivals(double fromMs, double untilMs, double requestsPerSecond) {
		double atMs = fromMs;
		while (atMs < untilMs) {
			atMs += -Math.log(1 - this.random.nextDouble()) * 1_000 / requestsPerSecond;
			int prompt = (int) Math.max(50, Math.min(3_900, 979 * Math.exp(this.random.nextGaussian() * 0.7 - 0.25)));
			int answer = (int) Math.max(5, Math.min(250, 92 * Math.exp(this.random.nextGaussian() * 0.6 - 0.18)));
			addArrival(new Arrival(atMs, atMs, this.random.nextInt(this.loads.length), prompt, answer, 0, 0, TARGET_MS,
					1));
		}
	}

	final void addArrival(Arrival arrival) {
		this.arrivals.add(arrival);
		this.requests++;
	}

	/** Counts a request as in time, or no longer. */
	void countOnTime(Arrival arrival, int change) {
		this.onTime += change;
	}

	/** Time from which a pause between two events makes a stream late. */
	double maxPauseMs() {
		return Double.MAX_VALUE;
	}

	/** Returns how much slower than usual an engine works. */
	double slowdown(int engine, double nowMs) {
		return 1;
	}

	boolean isReportDue(int entry, int engine, long nowMs) {
		return nowMs % this.reportIntervalMs == 0;
	}

	EngineRequest request(Arrival arrival, double elapsedMs) {
		return EngineRequest.of(arrival.promptTokens(), arrival.targetMs() - elapsedMs, DEADLINE_MS - elapsedMs,
				arrival.rank());
	}

	BackendCandidate candidate(int entry, int engine, long nowMs) {
		int estimate = this.loads[entry][engine].estimatedRequests(nowMs, this.loads.length);
		return new BackendCandidate(Integer.toString(engine), 0, estimate, 1, 0);
	}

	/** Called when a request is sent, when its events arrive, and when it has ended. */
	void progressed(Arrival arrival, int engine, Progress progress, double nowMs) {
	}

	final BackendLoad load(int entry, int engine) {
		return this.loads[entry][engine];
	}

	final int requestCount(int engine) {
		return this.engines.get(engine).requestCount();
	}

	/**
	 * Makes an engine unavailable for a time, as when it loads weights or has crashed.
	 */
	void makeUnavailable(int engine, double fromMs, double untilMs) {
		this.engines.get(engine).unavailableFromMs = fromMs;
		this.engines.get(engine).unavailableUntilMs = untilMs;
	}

	Result run(double untilMs) {
		for (double nowMs = 0; nowMs < untilMs; nowMs++) {
			report((long) nowMs);
			while (!this.arrivals.isEmpty() && this.arrivals.peek().atMs() <= nowMs) {
				place(this.arrivals.poll(), (long) nowMs);
			}
			for (int engine = 0; engine < this.engines.size(); engine++) {
				this.engines.get(engine).advance(nowMs, engine);
			}
		}
		return new Result(this.requests, this.onTime, this.late, this.rejected);
	}

	private void report(long nowMs) {
		for (int engine = 0; engine < this.engines.size(); engine++) {
			for (int entry = 0; entry < this.loads.length; entry++) {
				if (isReportDue(entry, engine, nowMs)) {
					this.loads[entry][engine].recordReport(requestCount(engine), slowdown(engine, nowMs), nowMs);
				}
			}
		}
	}

	private void place(Arrival arrival, long nowMs) {
		List<BackendCandidate> candidates = new ArrayList<>();
		for (int engine = 0; engine < this.engines.size(); engine++) {
			if (!this.engines.get(engine).isUnavailable(nowMs)) {
				candidates.add(candidate(arrival.entry(), engine, nowMs));
			}
		}
		double elapsedMs = nowMs - arrival.firstAttemptMs();
		EngineRequest request = request(arrival, elapsedMs);
		PlacementDecision decision = candidates.isEmpty() ? new PlacementDecision.Reject(200, 0, 0)
				: this.strategy.decide(request, candidates);
		if (decision instanceof PlacementDecision.Reject rejection) {
			double retryAtMs = nowMs + Math.min(rejection.retryAfterMs(), (DEADLINE_MS - elapsedMs) / 3);
			if (arrival.retries() == 0) {
				this.arrivals.add(arrival.retryAt(retryAtMs));
			}
			else {
				this.rejected++;
			}
			return;
		}
		PlacementDecision.Place chosen = (PlacementDecision.Place) decision;
		int engine = Integer.parseInt(chosen.id());
		this.loads[arrival.entry()][engine].recordSent();
		progressed(arrival, engine, Progress.SENT, nowMs);
		this.engines.get(engine).queue.add(new EngineJob(arrival, chosen.enginePriority(), nowMs + NETWORK_MS));
	}

	/** Strategy that decides on the placement of a request. */
	interface PlacementStrategy {

		PlacementDecision decide(EngineRequest request, List<BackendCandidate> candidates);

	}

	/**
	 * Result of a simulation.
	 *
	 * @param requests requests, without retries
	 * @param onTime requests whose first event met the target
	 * @param late requests whose first event was late
	 * @param rejected requests that were rejected twice
	 */
	record Result(int requests, int onTime, int late, int rejected) {

		double onTimeShare() {
			return (double) this.onTime / this.requests;
		}

		/**
		 * Returns the value of all answers per request; a late answer counts a quarter.
		 */
		double value() {
			return (this.onTime + 0.25 * this.late) / this.requests;
		}

	}

	/** What happens to a request at an engine. */
	enum Progress {

		SENT, EVENT, ENDED

	}

	record Arrival(double atMs, double firstAttemptMs, int entry, int promptTokens, int answerTokens, int retries,
			long hint, double targetMs, int rank) {

		private Arrival retryAt(double retryAtMs) {
			return new Arrival(retryAtMs, this.firstAttemptMs, this.entry, this.promptTokens, this.answerTokens,
					this.retries + 1, this.hint, this.targetMs, this.rank);
		}

	}

	private static final class EngineJob {

		private final Arrival arrival;

		private final int enginePriority;

		private final double readyMs;

		private double promptTokensLeft;

		private int answerTokensLeft;

		private boolean firstEventSent;

		private double lastEventMs;

		private boolean onTime;

		private EngineJob(Arrival arrival, int enginePriority, double readyMs) {
			this.arrival = arrival;
			this.enginePriority = enginePriority;
			this.readyMs = readyMs;
			this.promptTokensLeft = arrival.promptTokens();
			this.answerTokensLeft = arrival.answerTokens();
		}

	}

	private final class Engine {

		private static final int PREFILL_TOKENS_PER_STEP = 2_048;

		private final List<EngineJob> queue = new ArrayList<>();

		private final List<EngineJob> batch = new ArrayList<>();

		private double busyUntilMs;

		private double unavailableFromMs = Double.MAX_VALUE;

		private double unavailableUntilMs = Double.MAX_VALUE;

		private boolean isUnavailable(double nowMs) {
			return nowMs >= this.unavailableFromMs && nowMs < this.unavailableUntilMs;
		}

		private int requestCount() {
			return this.queue.size() + this.batch.size();
		}

		private void advance(double nowMs, int number) {
			if (nowMs < this.busyUntilMs) {
				return;
			}
			List<EngineJob> ready = new ArrayList<>(this.queue.stream().filter((job) -> job.readyMs <= nowMs).toList());
			ready.sort(Comparator.comparingInt((EngineJob job) -> job.enginePriority));
			while (this.batch.size() < EngineSimulation.this.profile.batchSlots() && !ready.isEmpty()) {
				EngineJob next = ready.remove(0);
				this.queue.remove(next);
				this.batch.add(next);
			}
			if (this.batch.isEmpty()) {
				return;
			}
			runPass(nowMs, number);
		}

		private void runPass(double nowMs, int number) {
			double lengthMs = 0;
			double prefillTokenBudget = PREFILL_TOKENS_PER_STEP * EngineSimulation.this.profile.stepsPerPass();
			for (EngineJob job : this.batch) {
				if (job.promptTokensLeft > 0 && prefillTokenBudget > 0) {
					double prefilledTokens = Math.min(prefillTokenBudget, job.promptTokensLeft);
					job.promptTokensLeft -= prefilledTokens;
					prefillTokenBudget -= prefilledTokens;
					lengthMs += EngineSimulation.this.profile.prefillMs((int) prefilledTokens);
				}
			}
			// A request whose prompt is completely read starts to decode in the same
			// pass.
			List<EngineJob> decoding = new ArrayList<>(
					this.batch.stream().filter((job) -> job.promptTokensLeft <= 0).toList());
			lengthMs += decoding.isEmpty() ? 0 : EngineSimulation.this.profile.passMs(decoding.size());
			lengthMs *= slowdown(number, nowMs);
			this.busyUntilMs = nowMs + Math.max(1, lengthMs);
			for (EngineJob job : decoding) {
				job.answerTokensLeft -= EngineSimulation.this.profile.stepsPerPass();
				if (!job.firstEventSent) {
					job.firstEventSent = true;
					recordFirstEvent(job, this.busyUntilMs + NETWORK_MS);
				}
				else if (job.onTime && this.busyUntilMs - job.lastEventMs > maxPauseMs()) {
					job.onTime = false;
					countOnTime(job.arrival, -1);
					EngineSimulation.this.late++;
				}
				job.lastEventMs = this.busyUntilMs;
				progressed(job.arrival, number, Progress.EVENT, this.busyUntilMs);
				if (job.answerTokensLeft <= 0) {
					this.batch.remove(job);
					progressed(job.arrival, number, Progress.ENDED, this.busyUntilMs);
					EngineSimulation.this.loads[job.arrival.entry()][number].recordEnd();
				}
			}
		}

		private void recordFirstEvent(EngineJob job, double firstEventMs) {
			job.onTime = firstEventMs - job.arrival.firstAttemptMs() <= job.arrival.targetMs();
			if (job.onTime) {
				countOnTime(job.arrival, 1);
			}
			else {
				EngineSimulation.this.late++;
			}
		}

	}

}
