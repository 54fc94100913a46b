package org.wigeontally.placement;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.Comparator;
import java.util.List;
import java.util.OptionalDouble;
import java.util.OptionalInt;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.function.Predicate;

/**
 * Simulates engine placement in virtual time. Entries place requests by their estimates
 * of the engines' load, which come from periodic reports. Engines process requests in
 * passes, as specified by the platform. Subclasses change the engines' speed, the reports
 * and what entries know; an {@link EntryBehaviour} changes what entries do.
 */
class PlacementSimulation {

	static final EngineProfile PROFILE = new EngineProfile(16, 317_000, 9.27, 0.0232, 0.0322, 20.7, 1.18, 5, 979, 92,
			List.of("m"), 16, 96, 24_576);

	private static final double DEADLINE_MS = 6_000;

	private static final StreamKind DEFAULT_KIND = new StreamKind(1, 450, 979, 92);

	private static final double NETWORK_MS = 5;

	private static final long DEFAULT_REPORT_INTERVAL_MS = 75;

	private final Random random;

	private final List<SimulatedEngine> engines = new ArrayList<>();

	private final BackendLoad[][] loads;

	private final EntryStrategy strategy;

	private EngineProfile profile = PROFILE;

	private long reportIntervalMs = DEFAULT_REPORT_INTERVAL_MS;

	// Entries and engines are assigned to regions in turn.
	private int regions = 1;

	private long remoteReportIntervalMs = DEFAULT_REPORT_INTERVAL_MS;

	private LoadReports reports = (entry, engine, load, nowMs) -> OptionalInt.of(load);

	private boolean staggeredReports;

	private boolean perfectReports;

	private boolean knownPlaces = true;

	private OptionalDouble retryDelayMs = OptionalDouble.empty();

	private EntryBehaviour entryBehaviour = this::placeOrReject;

	private EntryChoice entryChoice;

	private double[] organisationWeights = { 1 };

	private final PriorityQueue<Arrival> arrivals = new PriorityQueue<>(Comparator.comparingDouble(Arrival::atMs));

	private final List<Outcome> outcomes = new ArrayList<>();

	PlacementSimulation(int entries, int engineCount, long seed, PlacementStrategy strategy) {
		this(entries, engineCount, seed, (entry, nowMs, request, candidates) -> strategy.decide(request, candidates));
	}

	PlacementSimulation(int entries, int engineCount, long seed, EntryStrategy strategy) {
		this.random = new Random(seed);
		this.strategy = strategy;
		this.loads = new BackendLoad[entries][engineCount];
		this.entryChoice = (draw, atMs) -> draw.nextInt(entries);
		for (int engine = 0; engine < engineCount; engine++) {
			this.engines.add(new SimulatedEngine(new EngineObserver(engine)));
			for (int entry = 0; entry < entries; entry++) {
				this.loads[entry][engine] = BackendLoad.create();
			}
		}
	}

	final PlacementSimulation reportEveryMs(long intervalMs) {
		this.reportIntervalMs = intervalMs;
		return this;
	}

	final PlacementSimulation profile(EngineProfile newProfile) {
		this.profile = newProfile;
		return this;
	}

	final PlacementSimulation regions(int count, long remoteIntervalMs) {
		this.regions = count;
		this.remoteReportIntervalMs = remoteIntervalMs;
		return this;
	}

	final PlacementSimulation reports(LoadReports loadReports) {
		this.reports = loadReports;
		return this;
	}

	/** Each report reaches each entry at a time of its own. */
	final PlacementSimulation staggerReports() {
		this.staggeredReports = true;
		return this;
	}

	/** Entries know the load of the engines at any time. */
	final PlacementSimulation reportPerfectly() {
		this.perfectReports = true;
		return this;
	}

	/**
	 * Entries do not know how many requests an engine processes at the same time, so
	 * without a recent report they multiply their own requests.
	 */
	final PlacementSimulation hidePlaces() {
		this.knownPlaces = false;
		return this;
	}

	/** Callers retry after this time, whatever the entry tells them. */
	final PlacementSimulation retryAfterMs(double delayMs) {
		this.retryDelayMs = OptionalDouble.of(delayMs);
		return this;
	}

	final PlacementSimulation behave(EntryBehaviour behaviour) {
		this.entryBehaviour = behaviour;
		return this;
	}

	/** Half of all requests come to the first entries. */
	final PlacementSimulation crowdEntries(int entries) {
		this.entryChoice = (draw, atMs) -> draw.nextInt(draw.nextBoolean() ? entries : this.loads.length);
		return this;
	}

	final PlacementSimulation weighOrganisations(double... weights) {
		this.organisationWeights = weights;
		return this;
	}

	void addArrivals(double fromMs, double untilMs, double requestsPerSecond) {
		addArrivals(DEFAULT_KIND, fromMs, untilMs, requestsPerSecond);
	}

	final void addArrivals(StreamKind kind, double fromMs, double untilMs, double requestsPerSecond) {
		addArrivals(kind, fromMs, untilMs, requestsPerSecond, this.entryChoice);
	}

	final void addArrivals(StreamKind kind, double fromMs, double untilMs, double requestsPerSecond,
			EntryChoice entries) {
		double atMs = fromMs;
		while (atMs < untilMs) {
			atMs += -Math.log(1 - this.random.nextDouble()) * 1_000 / requestsPerSecond;
			int prompt = (int) Math.max(50,
					Math.min(3_900, kind.promptTokens() * Math.exp(this.random.nextGaussian() * 0.7 - 0.25)));
			int answer = (int) Math.max(5,
					Math.min(250, kind.answerTokens() * Math.exp(this.random.nextGaussian() * 0.6 - 0.18)));
			Outcome outcome = new Outcome(kind, drawOrganisation(), atMs, prompt);
			addArrival(outcome, entries.choose(this.random, atMs), answer, 0);
		}
	}

	final void addArrival(Outcome outcome, int entry, int answerTokens, long hint) {
		this.outcomes.add(outcome);
		this.arrivals.add(new Arrival(outcome.atMs, entry, answerTokens, hint, 0, outcome));
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

	/** Time from which a pause between two events makes a stream late. */
	double maxPauseMs() {
		return Double.MAX_VALUE;
	}

	/** Returns how much slower than usual an engine works. */
	double slowdown(int engine, double nowMs) {
		return 1;
	}

	boolean isReportDue(int entry, int engine, long nowMs) {
		boolean remote = region(entry) != region(engine);
		long intervalMs = remote ? this.remoteReportIntervalMs : this.reportIntervalMs;
		return (nowMs + reportOffsetMs(entry, engine)) % intervalMs == 0;
	}

	// Engines of several regions report one after the other, those of one all at once.
	private long reportOffsetMs(int entry, int engine) {
		if (this.staggeredReports) {
			return engine * 37L + entry * 101L;
		}
		return (this.regions == 1) ? 0 : engine * this.reportIntervalMs / this.engines.size();
	}

	EngineRequest request(Arrival arrival, double elapsedMs) {
		StreamKind kind = arrival.kind();
		return EngineRequest.of(arrival.promptTokens(), kind.targetMs() - elapsedMs, DEADLINE_MS - elapsedMs,
				kind.rank());
	}

	BackendCandidate candidate(int entry, int engine, long nowMs) {
		BackendLoad load = this.loads[entry][engine];
		load.setPlaces(this.knownPlaces ? this.profile.batchSlots() : 0);
		int requests = this.perfectReports ? requestsAt(engine) : load.estimatedRequests(nowMs, this.loads.length);
		int distance = (region(engine) == region(entry)) ? 0 : 2;
		return new BackendCandidate(Integer.toString(engine), distance, requests, 1, 0, load.blindRequests(nowMs));
	}

	/** Called when a request is sent, when its events arrive, and when it has ended. */
	void progressed(Arrival arrival, int engine, Progress progress, double nowMs) {
	}

	final BackendLoad load(int entry, int engine) {
		return this.loads[entry][engine];
	}

	/**
	 * Makes an engine unavailable for a time, as when it loads weights or has crashed.
	 */
	final void makeUnavailable(int engine, double fromMs, double untilMs) {
		this.engines.get(engine).makeUnavailable(fromMs, untilMs);
	}

	final Result run(double untilMs) {
		for (double nowMs = 0; nowMs < untilMs; nowMs++) {
			report((long) nowMs);
			while (!this.arrivals.isEmpty() && this.arrivals.peek().atMs() <= nowMs) {
				this.entryBehaviour.arrived(this.arrivals.poll(), (long) nowMs);
			}
			this.entryBehaviour.tick((long) nowMs);
			for (SimulatedEngine engine : this.engines) {
				engine.advance(nowMs, this.profile);
			}
		}
		return result((outcome) -> true);
	}

	/**
	 * Returns the result of a part of the requests.
	 */
	final Result result(Predicate<Outcome> part) {
		List<Outcome> selected = this.outcomes.stream().filter(part).toList();
		return new Result(selected.size(), count(selected, End.ON_TIME), count(selected, End.LATE),
				count(selected, End.REJECTED));
	}

	private static int count(List<Outcome> outcomes, End end) {
		return (int) outcomes.stream().filter((outcome) -> outcome.end == end).count();
	}

	final List<Outcome> outcomes() {
		return this.outcomes;
	}

	/** Returns the requests at an engine at this moment. */
	final int requestsAt(int engine) {
		return this.engines.get(engine).requestCount();
	}

	/** Returns the number of requests at all engines. */
	final int requestsAtEngines() {
		return this.engines.stream().mapToInt(SimulatedEngine::requestCount).sum();
	}

	final int region(int number) {
		return number % this.regions;
	}

	private void report(long nowMs) {
		for (int engine = 0; engine < this.engines.size(); engine++) {
			for (int entry = 0; entry < this.loads.length; entry++) {
				if (isReportDue(entry, engine, nowMs)) {
					report(entry, engine, nowMs);
				}
			}
		}
	}

	private void report(int entry, int engine, long nowMs) {
		OptionalInt requests = this.reports.receive(entry, engine, requestsAt(engine), nowMs);
		if (requests.isPresent()) {
			this.loads[entry][engine].recordReport(requests.getAsInt(), slowdown(engine, nowMs), nowMs);
			this.entryBehaviour.slotMayBeFree(entry, nowMs);
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

	final PlacementDecision decide(Arrival arrival, long nowMs) {
		List<BackendCandidate> candidates = new ArrayList<>();
		for (int engine = 0; engine < this.engines.size(); engine++) {
			if (!this.engines.get(engine).isUnavailable(nowMs)) {
				candidates.add(candidate(arrival.entry(), engine, nowMs));
			}
		}
		EngineRequest request = request(arrival, nowMs - arrival.firstAttemptMs());
		return candidates.isEmpty() ? new PlacementDecision.Reject(200, 0, 0)
				: this.strategy.decide(arrival.entry(), nowMs, request, candidates);
	}

	final void send(Arrival arrival, PlacementDecision.Place chosen, long nowMs) {
		int engine = Integer.parseInt(chosen.id());
		this.loads[arrival.entry()][engine].recordSent();
		progressed(arrival, engine, Progress.SENT, nowMs);
		this.engines.get(engine).add(arrival, chosen.enginePriority(), nowMs + NETWORK_MS);
	}

	/** Rejects a request; its caller retries once. */
	final void reject(Arrival arrival, double retryAfterMs, long nowMs) {
		if (arrival.retries() > 0) {
			arrival.outcome().end = End.REJECTED;
			return;
		}
		double elapsedMs = nowMs - arrival.firstAttemptMs();
		double delayMs = this.retryDelayMs.orElse(Math.min(retryAfterMs, (DEADLINE_MS - elapsedMs) / 3));
		this.arrivals.add(arrival.retryAt(nowMs + delayMs));
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

	/** What happens to a request at an engine. */
	enum Progress {

		SENT, EVENT, ENDED

	}

	/** How a request ended. */
	enum End {

		NONE, ON_TIME, LATE, REJECTED

	}

	/** One request and how it ended. */
	static final class Outcome {

		final StreamKind kind;

		final int organisation;

		final double atMs;

		final int promptTokens;

		private End end = End.NONE;

		Outcome(StreamKind kind, int organisation, double atMs, int promptTokens) {
			this.kind = kind;
			this.organisation = organisation;
			this.atMs = atMs;
			this.promptTokens = promptTokens;
		}

	}

	/**
	 * Result of a simulation.
	 *
	 * @param requests requests, without retries
	 * @param onTime requests whose first event met the target, without too long a pause
	 * @param late requests whose first event was late, or that paused for too long
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

	/**
	 * First or second attempt of a request.
	 *
	 * @param atMs time of this attempt
	 * @param entry entry that receives it
	 * @param answerTokens tokens of the answer
	 * @param hint the caller's hint of the answer's length, 0 if there is none
	 * @param retries number of attempts before
	 * @param outcome the request
	 */
	record Arrival(double atMs, int entry, int answerTokens, long hint, int retries, Outcome outcome) {

		StreamKind kind() {
			return this.outcome.kind;
		}

		int promptTokens() {
			return this.outcome.promptTokens;
		}

		double firstAttemptMs() {
			return this.outcome.atMs;
		}

		double targetAtMs() {
			return firstAttemptMs() + kind().targetMs();
		}

		double deadlineAtMs() {
			return firstAttemptMs() + DEADLINE_MS;
		}

		private Arrival retryAt(double retryAtMs) {
			return new Arrival(retryAtMs, this.entry, this.answerTokens, this.hint, this.retries + 1, this.outcome);
		}

	}

	/** Records what one of the engines does with its requests. */
	private final class EngineObserver implements SimulatedEngine.Observer {

		private final int engine;

		private EngineObserver(int engine) {
			this.engine = engine;
		}

		@Override
		public double slowdown(double nowMs) {
			return PlacementSimulation.this.slowdown(this.engine, nowMs);
		}

		@Override
		public void firstEvent(Arrival arrival, double sentMs) {
			Outcome outcome = arrival.outcome();
			boolean onTime = sentMs + NETWORK_MS - outcome.atMs <= outcome.kind.targetMs();
			outcome.end = onTime ? End.ON_TIME : End.LATE;
			progressed(arrival, this.engine, Progress.EVENT, sentMs);
		}

		@Override
		public void nextEvent(Arrival arrival, double sentMs, double pauseMs) {
			if (pauseMs > maxPauseMs()) {
				arrival.outcome().end = End.LATE;
			}
			progressed(arrival, this.engine, Progress.EVENT, sentMs);
		}

		@Override
		public void ended(Arrival arrival, double passStartMs, double endMs) {
			progressed(arrival, this.engine, Progress.ENDED, endMs);
			load(arrival.entry(), this.engine).recordEnd();
			PlacementSimulation.this.entryBehaviour.slotMayBeFree(arrival.entry(), (long) passStartMs);
		}

	}

}
