package org.wigeontally.placement;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Random;

/**
 * Simulates engine placement in virtual time. Entries place requests by their estimates
 * of the engines' load, which come from periodic reports. Engines process requests in
 * passes, as specified by the platform.
 */
final class QueueSimulation {

	static final EngineProfile PROFILE = new EngineProfile(16, 317_000, 9.27, 0.0232, 0.0322, 20.7, 1.18, 5, 979, 92,
			List.of("m"), 16, 96, 24_576);

	static final Stream STREAM = new Stream(1, 450, 979, 92);

	private static final double DEADLINE_MS = 6_000;

	private static final double NETWORK_MS = 5;

	private static final long DEFAULT_REPORT_INTERVAL_MS = 75;

	private final Random random;

	private final List<Engine> engines = new ArrayList<>();

	private final BackendLoad[][] loads;

	private final PlacementStrategy strategy;

	private final EngineProfile profile;

	private EntryBehaviour entryBehaviour = this::placeOrReject;

	private double[] organisationWeights = { 1 };

	private int crowdedEntries;

	private boolean retryAtOnce;

	private boolean perfectReports;

	private boolean staggeredReports;

	private long reportIntervalMs = DEFAULT_REPORT_INTERVAL_MS;

	private final PriorityQueue<Arrival> arrivals = new PriorityQueue<>(Comparator.comparingDouble(Arrival::atMs));

	private final Counts total = new Counts();

	private final Map<Stream, Counts> countsByStream = new HashMap<>();

	private final Map<Integer, Counts> countsByOrganisation = new HashMap<>();

	QueueSimulation(int entries, int engineCount, long seed, PlacementStrategy strategy) {
		this(PROFILE, entries, engineCount, seed, strategy);
	}

	QueueSimulation(EngineProfile profile, int entries, int engineCount, long seed, PlacementStrategy strategy) {
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

	QueueSimulation reportEveryMs(long intervalMs) {
		this.reportIntervalMs = intervalMs;
		return this;
	}

	/** Each report reaches each entry at a time of its own. */
	QueueSimulation staggerReports() {
		this.staggeredReports = true;
		return this;
	}

	/** Entries know the load of the engines at any time. */
	QueueSimulation reportPerfectly() {
		this.perfectReports = true;
		return this;
	}

	QueueSimulation behave(EntryBehaviour behaviour) {
		this.entryBehaviour = behaviour;
		return this;
	}

	/** Half of all requests come to the first entries. */
	QueueSimulation crowdEntries(int entries) {
		this.crowdedEntries = entries;
		return this;
	}

	/** Callers ignore when they are told to return. */
	QueueSimulation retryAtOnce() {
		this.retryAtOnce = true;
		return this;
	}

	QueueSimulation weighOrganisations(double... weights) {
		this.organisationWeights = weights;
		return this;
	}

	void addArrivals(double fromMs, double untilMs, double requestsPerSecond) {
		addArrivals(STREAM, fromMs, untilMs, requestsPerSecond);
	}

	void addArrivals(Stream stream, double fromMs, double untilMs, double requestsPerSecond) {
		double atMs = fromMs;
		while (atMs < untilMs) {
			atMs += -Math.log(1 - this.random.nextDouble()) * 1_000 / requestsPerSecond;
			int prompt = (int) Math.max(50,
					Math.min(3_900, stream.meanPrompt() * Math.exp(this.random.nextGaussian() * 0.7 - 0.25)));
			int answer = (int) Math.max(5,
					Math.min(250, stream.meanAnswer() * Math.exp(this.random.nextGaussian() * 0.6 - 0.18)));
			Arrival arrival = new Arrival(stream, drawOrganisation(), atMs, atMs, drawEntry(), prompt, answer, 0);
			this.arrivals.add(arrival);
			countsOf(arrival).forEach((counts) -> counts.requests++);
		}
	}

	private int drawEntry() {
		boolean crowded = this.crowdedEntries > 0 && this.random.nextBoolean();
		return this.random.nextInt(crowded ? this.crowdedEntries : this.loads.length);
	}

	// Draws nothing if there is only one.
	private int drawOrganisation() {
		int organisation = this.organisationWeights.length - 1;
		double left = (organisation == 0) ? 0
				: this.random.nextDouble() * Arrays.stream(this.organisationWeights).sum();
		while (organisation > 0 && left >= this.organisationWeights[organisation]) {
			left -= this.organisationWeights[organisation--];
		}
		return organisation;
	}

	private List<Counts> countsOf(Arrival arrival) {
		return List.of(this.total, this.countsByStream.computeIfAbsent(arrival.stream(), (key) -> new Counts()),
				this.countsByOrganisation.computeIfAbsent(arrival.organisation(), (key) -> new Counts()));
	}

	Result result(Stream stream) {
		return this.countsByStream.get(stream).toResult();
	}

	Result organisationResult(int organisation) {
		return this.countsByOrganisation.get(organisation).toResult();
	}

	/** Returns the number of requests at all engines. */
	int requestsAtEngines() {
		return this.engines.stream().mapToInt(Engine::requestCount).sum();
	}

	/**
	 * Makes an engine unavailable for a time, as when it loads weights or has crashed.
	 */
	void makeUnavailable(int engine, double fromMs, double untilMs) {
		this.engines.get(engine).unavailableFromMs = fromMs;
		this.engines.get(engine).unavailableUntilMs = untilMs;
	}

	Result run(double untilMs) {
		long nextReportMs = 0;
		for (double nowMs = 0; nowMs < untilMs; nowMs++) {
			if (this.staggeredReports) {
				reportStaggered((long) nowMs);
			}
			else if (nowMs >= nextReportMs) {
				report((long) nowMs);
				nextReportMs += this.reportIntervalMs;
			}
			while (!this.arrivals.isEmpty() && this.arrivals.peek().atMs() <= nowMs) {
				this.entryBehaviour.arrived(this.arrivals.poll(), (long) nowMs);
			}
			this.entryBehaviour.tick((long) nowMs);
			for (int engine = 0; engine < this.engines.size(); engine++) {
				this.engines.get(engine).advance(nowMs, engine);
			}
		}
		return this.total.toResult();
	}

	private void reportStaggered(long nowMs) {
		for (int engine = 0; engine < this.engines.size(); engine++) {
			for (int entry = 0; entry < this.loads.length; entry++) {
				if ((nowMs + engine * 37L + entry * 101L) % this.reportIntervalMs == 0) {
					this.loads[entry][engine].recordReport(this.engines.get(engine).requestCount(), 1, nowMs);
					this.entryBehaviour.slotMayBeFree(entry, nowMs);
				}
			}
		}
	}

	private void report(long nowMs) {
		for (int engine = 0; engine < this.engines.size(); engine++) {
			for (BackendLoad[] entry : this.loads) {
				entry[engine].recordReport(this.engines.get(engine).requestCount(), 1, nowMs);
			}
		}
	}

	private void placeOrReject(Arrival arrival, long nowMs) {
		PlacementDecision decision = decide(arrival, nowMs);
		if (decision instanceof PlacementDecision.Reject rejection) {
			reject(arrival, rejection.retryAfterMs(), nowMs);
		}
		else {
			send(arrival, (PlacementDecision.Place) decision, nowMs);
		}
	}

	PlacementDecision decide(Arrival arrival, long nowMs) {
		List<BackendCandidate> candidates = new ArrayList<>();
		for (int engine = 0; engine < this.engines.size(); engine++) {
			if (!this.engines.get(engine).isUnavailable(nowMs)) {
				int estimate = this.perfectReports ? this.engines.get(engine).requestCount()
						: this.loads[arrival.entry()][engine].estimatedRequests(nowMs, this.loads.length);
				candidates.add(new BackendCandidate(Integer.toString(engine), 0, estimate, 1, 0));
			}
		}
		EngineRequest request = EngineRequest.of(arrival.promptTokens(), arrival.targetAtMs() - nowMs,
				arrival.deadlineAtMs() - nowMs, arrival.stream().rank());
		return candidates.isEmpty() ? new PlacementDecision.Reject(200, 0, 0)
				: this.strategy.decide(request, candidates);
	}

	void send(Arrival arrival, PlacementDecision.Place chosen, long nowMs) {
		int engine = Integer.parseInt(chosen.id());
		this.loads[arrival.entry()][engine].recordSent();
		this.engines.get(engine).queue.add(new EngineJob(arrival, chosen.enginePriority(), nowMs + NETWORK_MS));
	}

	/** Rejects a request; its caller retries once. */
	void reject(Arrival arrival, double retryAfterMs, long nowMs) {
		double retryAtMs = nowMs
				+ (this.retryAtOnce ? 0 : Math.min(retryAfterMs, (arrival.deadlineAtMs() - nowMs) / 3));
		if (arrival.retries() == 0) {
			this.arrivals.add(new Arrival(arrival.stream(), arrival.organisation(), retryAtMs, arrival.firstAttemptMs(),
					arrival.entry(), arrival.promptTokens(), arrival.answerTokens(), 1));
		}
		else {
			countsOf(arrival).forEach((counts) -> counts.rejected++);
		}
	}

	/** What entries do with requests that arrive. */
	interface EntryBehaviour {

		void arrived(Arrival arrival, long nowMs);

		/** Called when a request of an entry has ended, or a report has reached it. */
		default void slotMayBeFree(int entry, long nowMs) {
		}

		/** Called every millisecond. */
		default void tick(long nowMs) {
		}

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

	/**
	 * Requests of one kind.
	 *
	 * @param rank their priority, 0 is the highest
	 * @param targetMs target for the first event
	 * @param meanPrompt tokens of a prompt
	 * @param meanAnswer tokens of an answer
	 */
	record Stream(int rank, double targetMs, int meanPrompt, int meanAnswer) {

	}

	record Arrival(Stream stream, int organisation, double atMs, double firstAttemptMs, int entry, int promptTokens,
			int answerTokens, int retries) {

		double targetAtMs() {
			return this.firstAttemptMs + this.stream.targetMs();
		}

		double deadlineAtMs() {
			return this.firstAttemptMs + DEADLINE_MS;
		}

	}

	private static final class Counts {

		private int requests;

		private int onTime;

		private int late;

		private int rejected;

		private Result toResult() {
			return new Result(this.requests, this.onTime, this.late, this.rejected);
		}

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
			while (this.batch.size() < QueueSimulation.this.profile.batchSlots() && !ready.isEmpty()) {
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
			EngineProfile profile = QueueSimulation.this.profile;
			double lengthMs = 0;
			double prefillTokenBudget = PREFILL_TOKENS_PER_STEP * profile.stepsPerPass();
			for (EngineJob job : this.batch) {
				if (job.promptTokensLeft > 0 && prefillTokenBudget > 0) {
					double prefilledTokens = Math.min(prefillTokenBudget, job.promptTokensLeft);
					job.promptTokensLeft -= prefilledTokens;
					prefillTokenBudget -= prefilledTokens;
					lengthMs += profile.prefillMs((int) prefilledTokens);
				}
			}
			// A request whose prompt is completely read starts to decode in the same
			// pass.
			List<EngineJob> decoding = new ArrayList<>(
					this.batch.stream().filter((job) -> job.promptTokensLeft <= 0).toList());
			lengthMs += decoding.isEmpty() ? 0 : profile.passMs(decoding.size());
			this.busyUntilMs = nowMs + Math.max(1, lengthMs);
			for (EngineJob job : decoding) {
				job.answerTokensLeft -= profile.stepsPerPass();
				if (!job.firstEventSent) {
					job.firstEventSent = true;
					recordFirstEvent(job, this.busyUntilMs + NETWORK_MS);
				}
				if (job.answerTokensLeft <= 0) {
					this.batch.remove(job);
					QueueSimulation.this.loads[job.arrival.entry()][number].recordEnd();
					QueueSimulation.this.entryBehaviour.slotMayBeFree(job.arrival.entry(), (long) nowMs);
				}
			}
		}

		private void recordFirstEvent(EngineJob job, double firstEventMs) {
			boolean onTime = firstEventMs <= job.arrival.targetAtMs();
			for (Counts counts : countsOf(job.arrival)) {
				counts.onTime += onTime ? 1 : 0;
				counts.late += onTime ? 0 : 1;
			}
		}

	}

}
