package org.wigeontally.placement;

import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;

/**
 * Engines that change their speed, answers with a long tail and hints that are far off.
 * Each entry knows the engines by their reports, by its own requests and by the answers'
 * headers.
 */
final class WorkSimulation extends PlacementSimulation {

	static final int ENGINES = 32;

	static final double SLOW = 2.5;

	private static final int REGIONS = 3;

	private static final long NEAR_INTERVAL_MS = 150;

	private static final long FAR_INTERVAL_MS = 400;

	/** Longest pause between two events of a stream that is in time. */
	private static final double MAX_PAUSE_MS = 400;

	private static final int ALLOWED_TOKENS = 2_000;

	private final Load traffic;

	private final Random random;

	private final int entries;

	private final boolean perfect;

	private final EngineBacklog[][] backlogs;

	private final AnswerLengthEstimator[] lengths;

	private final Map<Arrival, Sent> sent = new HashMap<>();

	private boolean reportedSpeed;

	private int silentEngines;

	private double movedShare;

	private double occupiedMs;

	private long measuredMs;

	/**
	 * Creates the simulation.
	 * @param traffic requests and engines
	 * @param entries number of entries
	 * @param perfect whether entries know load and speed as they are
	 * @param seed seed of the requests
	 * @param strategy strategy of all entries
	 */
	WorkSimulation(Load traffic, int entries, boolean perfect, long seed, PlacementStrategy strategy) {
		super(entries, ENGINES, seed, strategy);
		profile(traffic.engine());
		this.random = new Random(seed);
		this.entries = entries;
		this.traffic = traffic;
		this.perfect = perfect;
		this.backlogs = new EngineBacklog[entries][ENGINES];
		Arrays.stream(this.backlogs).forEach((entry) -> Arrays.setAll(entry, (i) -> EngineBacklog.create()));
		this.lengths = new AnswerLengthEstimator[entries];
		Arrays.setAll(this.lengths, (i) -> AnswerLengthEstimator.create());
	}

	/** Lets entries use the last speed that an agent reported, as they always did. */
	WorkSimulation withReportedSpeed() {
		this.reportedSpeed = true;
		return this;
	}

	/** Lets a share of the callers use the entries of the first region only. */
	WorkSimulation withMovedCallers(double share) {
		this.movedShare = share;
		return this;
	}

	/**
	 * Lets agents of some engines report nothing from the fourth to the eighth second.
	 */
	WorkSimulation withSilentAgents(int count) {
		this.silentEngines = count;
		return this;
	}

	@Override
	void addArrivals(double fromMs, double untilMs, double requestsPerSecond) {
		double shares = this.traffic.streams().stream().mapToDouble(Stream::perSecond).sum();
		for (Stream stream : this.traffic.streams()) {
			double perMs = requestsPerSecond * stream.perSecond() / shares / 1_000;
			double sigma = Math.sqrt(Math.log(1 + stream.spread() * stream.spread()));
			double atMs = fromMs - Math.log(1 - this.random.nextDouble()) / perMs;
			while (atMs < untilMs) {
				int prompt = (int) Math.max(50,
						Math.min(3_900, stream.promptTokens() * Math.exp(this.random.nextGaussian() * 0.7 - 0.25)));
				int answer = (int) Math.max(5, Math.min(ALLOWED_TOKENS,
						stream.answerTokens() * Math.exp(this.random.nextGaussian() * sigma - sigma * sigma / 2)));
				long hint = AnswerLengthEstimatorTests.hint(this.random, answer);
				addArrival(new Outcome(stream.kind(), 0, atMs, prompt), entry(), answer, hint);
				atMs -= Math.log(1 - this.random.nextDouble()) / perMs;
			}
		}
	}

	private int entry() {
		int entry = this.random.nextInt(this.entries);
		boolean moved = this.movedShare > 0 && this.random.nextDouble() < this.movedShare;
		return moved ? entry - entry % REGIONS : entry;
	}

	double onTimeShare(int rank) {
		return result((outcome) -> outcome.kind.rank() == rank).onTimeShare();
	}

	@Override
	double maxPauseMs() {
		return MAX_PAUSE_MS;
	}

	// A sixth of the engines, each for one phase; others follow. Phases of different
	// engines do not begin together.
	@Override
	double slowdown(int engine, double nowMs) {
		long phase = (long) ((nowMs + engine * 37) / SpeedEstimate.PHASE_MS);
		boolean slow = new Random(phase * 1_009 + engine).nextInt(6) == 0;
		return (this.traffic.slowPhases() && slow) ? SLOW : 1;
	}

	@Override
	boolean isReportDue(int entry, int engine, long nowMs) {
		if (this.perfect || (engine < this.silentEngines && nowMs >= 4_000 && nowMs < 8_000)) {
			return this.perfect;
		}
		long intervalMs = isNear(entry, engine) ? NEAR_INTERVAL_MS : FAR_INTERVAL_MS;
		// Reports of an engine are spread over its interval.
		return (nowMs + engine * 53 + entry * 7) % intervalMs == 0;
	}

	private static boolean isNear(int entry, int engine) {
		return entry % REGIONS == engine % REGIONS;
	}

	@Override
	EngineRequest request(Arrival arrival, double elapsedMs) {
		EngineRequest request = super.request(arrival, elapsedMs);
		return new EngineRequest(request.promptTokens(), estimate(arrival).expectedTokens(), request.targetLeftMs(),
				request.deadlineLeftMs(), request.priority(), 0);
	}

	private AnswerLength estimate(Arrival arrival) {
		return this.lengths[arrival.entry()].estimate(arrival.kind().rank() + "/" + arrival.kind().targetMs(), "a",
				arrival.hint(), ALLOWED_TOKENS, this.traffic.engine().meanAnswerTokens());
	}

	@Override
	BackendCandidate candidate(int entry, int engine, long nowMs) {
		BackendLoad load = load(entry, engine);
		int requests = this.perfect ? requestsAt(engine) : load.estimatedRequests(nowMs, this.entries);
		double known = this.reportedSpeed ? load.slowdownFactor() : load.speed().slowdownFactor(nowMs);
		double slowdown = this.perfect ? slowdown(engine, nowMs) : known;
		return new BackendCandidate(Integer.toString(engine), isNear(entry, engine) ? 1 : 2, requests, slowdown, 0)
			.withWork(this.backlogs[entry][engine].work(this.lengths[entry], load.reportAgeMs(nowMs)));
	}

	@Override
	void progressed(Arrival arrival, int engine, Progress progress, double nowMs) {
		int entry = arrival.entry();
		if (progress == Progress.SENT) {
			this.sent.put(arrival,
					new Sent(nowMs, this.backlogs[entry][engine].add(arrival.promptTokens(), estimate(arrival))));
			return;
		}
		Sent request = this.sent.get(arrival);
		if (progress == Progress.EVENT) {
			if (request.own.writtenTokens() == 0) {
				load(entry, engine).speed().recordReport(slowdown(engine, nowMs), (long) nowMs);
			}
			else {
				double passMs = this.traffic.engine()
					.passMs(load(entry, engine).estimatedRequests((long) nowMs, this.entries));
				load(entry, engine).speed().recordPause((nowMs - request.lastEventMs) / passMs, (long) nowMs);
			}
			request.lastEventMs = nowMs;
			request.own.setWrittenTokens(request.own.writtenTokens() + this.traffic.engine().stepsPerPass());
			return;
		}
		request.own.end();
		this.lengths[entry].record(request.own.answer(), request.own.writtenTokens());
		this.sent.remove(arrival);
		this.occupiedMs += nowMs - request.sentMs;
		this.measuredMs = Math.max(this.measuredMs, (long) arrival.atMs());
	}

	/** Returns the mean number of requests at all engines while requests arrived. */
	double meanOccupied() {
		return this.occupiedMs / this.measuredMs;
	}

	/**
	 * Requests and engines.
	 *
	 * @param engine profile of the engines
	 * @param slowPhases whether a sixth of the engines works slowly in turns
	 * @param streams kinds of requests
	 */
	record Load(EngineProfile engine, boolean slowPhases, List<Stream> streams) {

		static Load uneven() {
			EngineProfile engine = new EngineProfile(12, 317_000, 9.27, 0.0232, 0.0322, 20.7, 1.18, 5, 943, 94,
					List.of("m"), 16, 64, 32_768);
			return new Load(engine, true, List.of(new Stream(0, 139, 503, 1_290, 105, 1.6),
					new Stream(0, 102, 402, 787, 105, 1.4), new Stream(0, 97, 402, 607, 70, 1.2)));
		}

		static Load ranked() {
			EngineProfile engine = new EngineProfile(12, 685_000, 7.4, 0.0232, 0.0322, 31.9, 1.18, 7, 908, 111,
					List.of("m"), 16, 48, 49_152);
			return new Load(engine, false, List.of(new Stream(0, 135, 402, 1_290, 126, 1.4),
					new Stream(1, 163, 402, 787, 126, 1.4), new Stream(2, 105, 802, 607, 70, 1.4)));
		}

	}

	/**
	 * A kind of requests.
	 *
	 * @param rank its rank
	 * @param perSecond its share of the requests
	 * @param targetMs target of the first event
	 * @param promptTokens mean tokens of a prompt
	 * @param answerTokens mean tokens of an answer
	 * @param spread spread of the answers, relative to their mean
	 */
	record Stream(int rank, double perSecond, double targetMs, int promptTokens, int answerTokens, double spread) {

		private StreamKind kind() {
			return new StreamKind(this.rank, this.targetMs, this.promptTokens, this.answerTokens);
		}

	}

	private static final class Sent {

		private final double sentMs;

		private final EngineBacklog.OwnRequest own;

		private double lastEventMs;

		private Sent(double sentMs, EngineBacklog.OwnRequest own) {
			this.sentMs = sentMs;
			this.own = own;
		}

	}

}
