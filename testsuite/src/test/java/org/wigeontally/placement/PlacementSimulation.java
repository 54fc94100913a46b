package org.wigeontally.placement;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.OptionalInt;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.function.Predicate;

/**
 * Simulates engine placement in virtual time. Entries place requests by their estimates
 * of the engines' load, which come from periodic reports. Engines process requests in
 * passes, as specified by the platform.
 */
final class PlacementSimulation {

	static final EngineProfile PROFILE = new EngineProfile(16, 317_000, 9.27, 0.0232, 0.0322, 20.7, 1.18, 5, 979, 92,
			List.of("m"), 16, 96, 24_576);

	private static final double DEADLINE_MS = 6_000;

	private static final StreamKind DEFAULT_KIND = new StreamKind(1, 450, 979, 92);

	private static final double NETWORK_MS = 5;

	private static final long DEFAULT_REPORT_INTERVAL_MS = 75;

	private final Random random;

	private final List<Engine> engines = new ArrayList<>();

	private final BackendLoad[][] loads;

	private final EntryStrategy strategy;

	private EngineProfile profile = PROFILE;

	private long reportIntervalMs = DEFAULT_REPORT_INTERVAL_MS;

	// Entries and engines are assigned to regions in turn.
	private int regions = 1;

	private long remoteReportIntervalMs = DEFAULT_REPORT_INTERVAL_MS;

	private LoadReports reports = (entry, engine, load, nowMs) -> OptionalInt.of(load);

	private boolean retryAtOnce;

	private final PriorityQueue<Arrival> arrivals = new PriorityQueue<>(Comparator.comparingDouble(Arrival::atMs));

	private final List<Outcome> outcomes = new ArrayList<>();

	PlacementSimulation(int entries, int engineCount, long seed, PlacementStrategy strategy) {
		this(entries, engineCount, seed, (entry, nowMs, request, candidates) -> strategy.decide(request, candidates));
	}

	PlacementSimulation(int entries, int engineCount, long seed, EntryStrategy strategy) {
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

	PlacementSimulation reportEveryMs(long intervalMs) {
		this.reportIntervalMs = intervalMs;
		return this;
	}

	PlacementSimulation profile(EngineProfile newProfile) {
		this.profile = newProfile;
		return this;
	}

	PlacementSimulation regions(int count, long remoteIntervalMs) {
		this.regions = count;
		this.remoteReportIntervalMs = remoteIntervalMs;
		return this;
	}

	PlacementSimulation reports(LoadReports loadReports) {
		this.reports = loadReports;
		return this;
	}

	PlacementSimulation retryAtOnce() {
		this.retryAtOnce = true;
		return this;
	}

	void addArrivals(double fromMs, double untilMs, double requestsPerSecond) {
		addArrivals(DEFAULT_KIND, fromMs, untilMs, requestsPerSecond, (draw, atMs) -> draw.nextInt(this.loads.length));
	}

	void addArrivals(StreamKind kind, double fromMs, double untilMs, double requestsPerSecond, EntryChoice entries) {
		double atMs = fromMs;
		while (atMs < untilMs) {
			atMs += -Math.log(1 - this.random.nextDouble()) * 1_000 / requestsPerSecond;
			int prompt = (int) Math.max(50,
					Math.min(3_900, kind.promptTokens() * Math.exp(this.random.nextGaussian() * 0.7 - 0.25)));
			int answer = (int) Math.max(5,
					Math.min(250, kind.answerTokens() * Math.exp(this.random.nextGaussian() * 0.6 - 0.18)));
			Outcome outcome = new Outcome(kind, atMs, prompt);
			this.outcomes.add(outcome);
			this.arrivals.add(new Arrival(atMs, entries.choose(this.random, atMs), answer, 0, outcome));
		}
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
		return result((outcome) -> true);
	}

	/**
	 * Returns the result of a part of the requests.
	 */
	Result result(Predicate<Outcome> part) {
		List<Outcome> selected = this.outcomes.stream().filter(part).toList();
		return new Result(selected.size(), count(selected, End.ON_TIME), count(selected, End.LATE),
				count(selected, End.REJECTED));
	}

	private static int count(List<Outcome> outcomes, End end) {
		return (int) outcomes.stream().filter((outcome) -> outcome.end == end).count();
	}

	List<Outcome> outcomes() {
		return this.outcomes;
	}

	/** Returns the requests at an engine at this moment. */
	int requestsAt(int engine) {
		return this.engines.get(engine).requestCount();
	}

	int region(int number) {
		return number % this.regions;
	}

	// Engines of several regions report one after the other, those of one all at once.
	private void report(long nowMs) {
		for (int engine = 0; engine < this.engines.size(); engine++) {
			long offsetMs = (this.regions == 1) ? 0 : engine * this.reportIntervalMs / this.engines.size();
			for (int entry = 0; entry < this.loads.length; entry++) {
				boolean remote = region(entry) != region(engine);
				long intervalMs = remote ? this.remoteReportIntervalMs : this.reportIntervalMs;
				if ((nowMs + offsetMs) % intervalMs == 0) {
					BackendLoad load = this.loads[entry][engine];
					this.reports.receive(entry, engine, requestsAt(engine), nowMs)
						.ifPresent((requests) -> load.recordReport(requests, 1, nowMs));
				}
			}
		}
	}

	private void place(Arrival arrival, long nowMs) {
		List<BackendCandidate> candidates = new ArrayList<>();
		for (int engine = 0; engine < this.engines.size(); engine++) {
			if (!this.engines.get(engine).isUnavailable(nowMs)) {
				BackendLoad load = this.loads[arrival.entry()][engine];
				load.setPlaces(this.profile.batchSlots());
				int estimate = load.estimatedRequests(nowMs, this.loads.length);
				int distance = (region(engine) == region(arrival.entry())) ? 0 : 2;
				candidates.add(new BackendCandidate(Integer.toString(engine), distance, estimate, 1, 0,
						load.blindRequests(nowMs)));
			}
		}
		Outcome outcome = arrival.outcome();
		double elapsedMs = nowMs - outcome.atMs;
		EngineRequest request = EngineRequest.of(outcome.promptTokens, outcome.kind.targetMs() - elapsedMs,
				DEADLINE_MS - elapsedMs, outcome.kind.rank());
		PlacementDecision decision = candidates.isEmpty() ? new PlacementDecision.Reject(200, 0, 0)
				: this.strategy.decide(arrival.entry(), nowMs, request, candidates);
		if (decision instanceof PlacementDecision.Reject rejection) {
			double delayMs = this.retryAtOnce ? 1 : Math.min(rejection.retryAfterMs(), (DEADLINE_MS - elapsedMs) / 3);
			if (arrival.retries() == 0) {
				this.arrivals.add(new Arrival(nowMs + delayMs, arrival.entry(), arrival.answerTokens(), 1, outcome));
			}
			else {
				outcome.end = End.REJECTED;
			}
			return;
		}
		PlacementDecision.Place chosen = (PlacementDecision.Place) decision;
		int engine = Integer.parseInt(chosen.id());
		this.loads[arrival.entry()][engine].recordSent();
		this.engines.get(engine).queue.add(new EngineJob(arrival, chosen.enginePriority(), nowMs + NETWORK_MS));
	}

	/** Strategy that decides on the placement of a request. */
	interface PlacementStrategy {

		PlacementDecision decide(EngineRequest request, List<BackendCandidate> candidates);

	}

	/** Strategy of which each entry has its own state. */
	interface EntryStrategy {

		PlacementDecision decide(int entry, long nowMs, EngineRequest request, List<BackendCandidate> candidates);

	}

	/** Chooses the entry that receives a request. */
	interface EntryChoice {

		int choose(Random random, double atMs);

	}

	/** What an entry receives of a report; nothing if the report is lost. */
	interface LoadReports {

		OptionalInt receive(int entry, int engine, int load, long nowMs);

	}

	/**
	 * Requests of one kind; the numbers of tokens are means.
	 *
	 * @param rank priority, 0 is the highest
	 * @param targetMs target for the first event
	 * @param promptTokens tokens of the prompt
	 * @param answerTokens tokens of the answer
	 */
	record StreamKind(int rank, double targetMs, int promptTokens, int answerTokens) {

	}

	/** How a request ended. */
	enum End {

		NONE, ON_TIME, LATE, REJECTED

	}

	/** One request and how it ended. */
	static final class Outcome {

		final StreamKind kind;

		final double atMs;

		final int promptTokens;

		private End end = End.NONE;

		private Outcome(StreamKind kind, double atMs, int promptTokens) {
			this.kind = kind;
			this.atMs = atMs;
			this.promptTokens = promptTokens;
		}

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

		double servedShare() {
			return (double) (this.onTime + this.late) / this.requests;
		}

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

	private record Arrival(double atMs, int entry, int answerTokens, int retries, Outcome outcome) {

	}

	private static final class EngineJob {

		private final Arrival arrival;

		private final int enginePriority;

		private final double readyMs;

		private double promptTokensLeft;

		private int answerTokensLeft;

		private boolean firstEventSent;

		private EngineJob(Arrival arrival, int enginePriority, double readyMs) {
			this.arrival = arrival;
			this.enginePriority = enginePriority;
			this.readyMs = readyMs;
			this.promptTokensLeft = arrival.outcome().promptTokens;
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
			while (this.batch.size() < PlacementSimulation.this.profile.batchSlots() && !ready.isEmpty()) {
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
			double prefillTokenBudget = PREFILL_TOKENS_PER_STEP * PlacementSimulation.this.profile.stepsPerPass();
			for (EngineJob job : this.batch) {
				if (job.promptTokensLeft > 0 && prefillTokenBudget > 0) {
					double prefilledTokens = Math.min(prefillTokenBudget, job.promptTokensLeft);
					job.promptTokensLeft -= prefilledTokens;
					prefillTokenBudget -= prefilledTokens;
					lengthMs += PlacementSimulation.this.profile.prefillMs((int) prefilledTokens);
				}
			}
			// A request whose prompt is completely read starts to decode in the same
			// pass.
			List<EngineJob> decoding = new ArrayList<>(
					this.batch.stream().filter((job) -> job.promptTokensLeft <= 0).toList());
			lengthMs += decoding.isEmpty() ? 0 : PlacementSimulation.this.profile.passMs(decoding.size());
			this.busyUntilMs = nowMs + Math.max(1, lengthMs);
			for (EngineJob job : decoding) {
				job.answerTokensLeft -= PlacementSimulation.this.profile.stepsPerPass();
				if (!job.firstEventSent) {
					job.firstEventSent = true;
					recordFirstEvent(job, this.busyUntilMs + NETWORK_MS);
				}
				if (job.answerTokensLeft <= 0) {
					this.batch.remove(job);
					PlacementSimulation.this.loads[job.arrival.entry()][number].recordEnd();
				}
			}
		}

		private void recordFirstEvent(EngineJob job, double firstEventMs) {
			Outcome outcome = job.arrival.outcome();
			outcome.end = (firstEventMs - outcome.atMs <= outcome.kind.targetMs()) ? End.ON_TIME : End.LATE;
		}

	}

}
