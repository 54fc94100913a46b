package org.wigeontally.fleet;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.PriorityQueue;
import java.util.Random;

/**
 * Replays a load in virtual time: entries place requests on engines by what they know,
 * with reports that lag. Engines work in passes as the platform describes them.
 */
final class EngineReplay {

	static final EngineProfile MODEL = new EngineProfile(16, 317_000, 9.27, 0.0232, 0.0322, 20.7, 1.18, 5, 979, 92,
			List.of("m"), 16, 96, 24_576);

	private static final double TARGET_MS = 450;

	private static final double DEADLINE_MS = 6_000;

	private static final double NETWORK_MS = 5;

	private static final long REPORT_MS = 75;

	private final Random random;

	private final List<Engine> engines = new ArrayList<>();

	private final BackendLoad[][] loads;

	private final Chooser chooser;

	private final PriorityQueue<Arrival> arrivals = new PriorityQueue<>(Comparator.comparingDouble(Arrival::atMs));

	private int asked;

	private int onTime;

	private int late;

	private int refused;

	EngineReplay(int entries, int engineCount, long seed, Chooser chooser) {
		this.random = new Random(seed);
		this.chooser = chooser;
		this.loads = new BackendLoad[entries][engineCount];
		for (int engine = 0; engine < engineCount; engine++) {
			this.engines.add(new Engine());
			for (int entry = 0; entry < entries; entry++) {
				this.loads[entry][engine] = BackendLoad.create();
			}
		}
	}

	void arrive(double fromMs, double untilMs, double perSecond) {
		double atMs = fromMs;
		while (atMs < untilMs) {
			atMs += -Math.log(1 - this.random.nextDouble()) * 1_000 / perSecond;
			int prompt = (int) Math.max(50, Math.min(3_900, 979 * Math.exp(this.random.nextGaussian() * 0.7 - 0.25)));
			int answer = (int) Math.max(5, Math.min(250, 92 * Math.exp(this.random.nextGaussian() * 0.6 - 0.18)));
			this.arrivals.add(new Arrival(atMs, atMs, this.random.nextInt(this.loads.length), prompt, answer, 0));
			this.asked++;
		}
	}

	/**
	 * Takes an engine out of work for a while, as when it loads weights or has crashed.
	 */
	void away(int engine, double fromMs, double untilMs) {
		this.engines.get(engine).awayFromMs = fromMs;
		this.engines.get(engine).awayUntilMs = untilMs;
	}

	Result run(double untilMs) {
		long nextReportMs = 0;
		for (double nowMs = 0; nowMs < untilMs; nowMs++) {
			if (nowMs >= nextReportMs) {
				report((long) nowMs);
				nextReportMs += REPORT_MS;
			}
			while (!this.arrivals.isEmpty() && this.arrivals.peek().atMs() <= nowMs) {
				place(this.arrivals.poll(), (long) nowMs);
			}
			for (int engine = 0; engine < this.engines.size(); engine++) {
				this.engines.get(engine).advance(nowMs, engine);
			}
		}
		return new Result(this.asked, this.onTime, this.late, this.refused);
	}

	private void report(long nowMs) {
		for (int engine = 0; engine < this.engines.size(); engine++) {
			for (BackendLoad[] entry : this.loads) {
				entry[engine].recordReport(this.engines.get(engine).count(), 1, nowMs);
			}
		}
	}

	private void place(Arrival arrival, long nowMs) {
		List<BackendCandidate> candidates = new ArrayList<>();
		for (int engine = 0; engine < this.engines.size(); engine++) {
			if (!this.engines.get(engine).isAway(nowMs)) {
				int estimate = this.loads[arrival.entry()][engine].estimatedRequests(nowMs, this.loads.length);
				candidates.add(new BackendCandidate(Integer.toString(engine), 0, estimate, 1, 0));
			}
		}
		double elapsedMs = nowMs - arrival.firstMs();
		EngineRequest request = new EngineRequest(arrival.prompt(), TARGET_MS - elapsedMs, DEADLINE_MS - elapsedMs, 1);
		PlacementDecision decision = candidates.isEmpty() ? new PlacementDecision.Reject(200, 0, 0)
				: this.chooser.decide(request, candidates);
		if (decision instanceof PlacementDecision.Reject away) {
			double backMs = nowMs + Math.min(away.retryAfterMs(), (DEADLINE_MS - elapsedMs) / 3);
			if (arrival.returns() == 0) {
				this.arrivals.add(
						new Arrival(backMs, arrival.firstMs(), arrival.entry(), arrival.prompt(), arrival.answer(), 1));
			}
			else {
				this.refused++;
			}
			return;
		}
		PlacementDecision.Place chosen = (PlacementDecision.Place) decision;
		int engine = Integer.parseInt(chosen.id());
		this.loads[arrival.entry()][engine].recordSent();
		this.engines.get(engine).queue.add(new Work(arrival, chosen.enginePriority(), nowMs + NETWORK_MS));
	}

	/** Chooses where a request goes. */
	interface Chooser {

		PlacementDecision decide(EngineRequest request, List<BackendCandidate> candidates);

	}

	/**
	 * Outcome of a replay.
	 *
	 * @param asked requests
	 * @param onTime first event within the target
	 * @param late first event later
	 * @param refused turned away twice
	 */
	record Result(int asked, int onTime, int late, int refused) {

		double onTimeShare() {
			return (double) this.onTime / this.asked;
		}

		/** Late answers have a quarter of the worth. */
		double worth() {
			return (this.onTime + 0.25 * this.late) / this.asked;
		}

	}

	private record Arrival(double atMs, double firstMs, int entry, int prompt, int answer, int returns) {

	}

	private static final class Work {

		private final Arrival arrival;

		private final int rank;

		private final double readyMs;

		private double toRead;

		private int toWrite;

		private boolean begun;

		private Work(Arrival arrival, int rank, double readyMs) {
			this.arrival = arrival;
			this.rank = rank;
			this.readyMs = readyMs;
			this.toRead = arrival.prompt();
			this.toWrite = arrival.answer();
		}

	}

	private final class Engine {

		private static final int CHUNK = 2_048;

		private final List<Work> queue = new ArrayList<>();

		private final List<Work> batch = new ArrayList<>();

		private double busyUntilMs;

		private double awayFromMs = Double.MAX_VALUE;

		private double awayUntilMs = Double.MAX_VALUE;

		private boolean isAway(double nowMs) {
			return nowMs >= this.awayFromMs && nowMs < this.awayUntilMs;
		}

		private int count() {
			return this.queue.size() + this.batch.size();
		}

		private void advance(double nowMs, int number) {
			if (nowMs < this.busyUntilMs) {
				return;
			}
			List<Work> ready = new ArrayList<>(this.queue.stream().filter((work) -> work.readyMs <= nowMs).toList());
			ready.sort(Comparator.comparingInt((Work work) -> work.rank));
			while (this.batch.size() < MODEL.batchSlots() && !ready.isEmpty()) {
				Work next = ready.remove(0);
				this.queue.remove(next);
				this.batch.add(next);
			}
			if (this.batch.isEmpty()) {
				return;
			}
			pass(nowMs, number);
		}

		private void pass(double nowMs, int number) {
			double lengthMs = 0;
			double budget = CHUNK * MODEL.stepsPerPass();
			for (Work work : this.batch) {
				if (work.toRead > 0 && budget > 0) {
					double read = Math.min(budget, work.toRead);
					work.toRead -= read;
					budget -= read;
					lengthMs += MODEL.prefillMs((int) read);
				}
			}
			// A request whose prompt was read writes in the same pass.
			List<Work> writers = new ArrayList<>(this.batch.stream().filter((work) -> work.toRead <= 0).toList());
			lengthMs += writers.isEmpty() ? 0 : MODEL.passMs(writers.size());
			this.busyUntilMs = nowMs + Math.max(1, lengthMs);
			for (Work work : writers) {
				work.toWrite -= MODEL.stepsPerPass();
				if (!work.begun) {
					work.begun = true;
					count(work, this.busyUntilMs + NETWORK_MS);
				}
				if (work.toWrite <= 0) {
					this.batch.remove(work);
					EngineReplay.this.loads[work.arrival.entry()][number].recordEnd();
				}
			}
		}

		private void count(Work work, double firstEventMs) {
			if (firstEventMs - work.arrival.firstMs() <= TARGET_MS) {
				EngineReplay.this.onTime++;
			}
			else {
				EngineReplay.this.late++;
			}
		}

	}

}
