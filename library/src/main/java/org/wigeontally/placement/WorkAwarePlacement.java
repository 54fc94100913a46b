package org.wigeontally.placement;

import java.util.List;
import java.util.random.RandomGenerator;

/**
 * Places requests on model engines by the work that they cause, for services whose
 * engines change their speed or whose streams have different ranks.
 *
 * <p>
 * It answers load of 0.8 to 1 of the slots, where requests that look alike need very
 * different work and a sixth of the engines takes 2.5 times as long for about 600 ms,
 * then others do, while 44 and 67 entries draw from reports that are up to 400 ms old.
 * There, {@link EnginePlacement} loses requests in three ways: a prompt that is read in a
 * slow phase, or beside other prompts of the same entry, makes the pass so long that all
 * streams of the engine pause for too long; long answers stay in slow engines; and a
 * count that is two requests old makes an engine look full or free that is not.
 *
 * <p>
 * An engine is drawn at random as in {@link EnginePlacement}, but its weight also falls
 * with the pause that the prompt causes for the streams that run there, and with the
 * answer that follows if the engine is slow now. Free slots count with the uncertainty of
 * the reports, so that an engine with one free slot more is not preferred as if that were
 * certain. Engines of other regions, whose reports are oldest, get few requests until
 * those nearby are busier. An engine without a recent report is taken to be as busy as
 * the mean of the others, but is not called full for it.
 *
 * <p>
 * If no engine has a slot, a request of the highest rank that would still be in time goes
 * to the queue of an engine, which admits it before requests of lower ranks that wait
 * there. Requests without such a lead do not: in a queue they delay each other, and one
 * that waits at the entry can still go to any engine.
 */
public final class WorkAwarePlacement implements PlacementStrategy {

	/**
	 * Requests beyond the batch that an engine may have, as far as known. With two, fewer
	 * requests of all ranks are in time, since reports do not tell those that others send
	 * meanwhile.
	 */
	static final int MAX_QUEUED_REQUESTS = 1;

	/** Distance of an engine in another region. */
	private static final int REMOTE = 2;

	/**
	 * Weight of an engine in another region if both sides are equally busy. Reports from
	 * there are older, so that requests sent there find a full engine more often.
	 */
	private static final double REMOTE_WEIGHT = 0.1;

	/**
	 * Requests by which the mean engine nearby must be busier than the one in other
	 * regions for this weight to grow by a factor of e. Half of the callers may move to
	 * one region.
	 */
	private static final double SPILL_REQUESTS = 2;

	/** Fraction of the slots of an engine in another region that must stay free. */
	private static final double REMOTE_FREE_FRACTION = 0.125;

	/**
	 * Free slots by which a report may be wrong: an engine gets and completes about three
	 * requests in 400 ms.
	 */
	private static final int UNCERTAIN_SLOTS = 3;

	/** Cost by which the weight of an engine falls by a factor of e. */
	private static final double COST_SCALE_MS = 60;

	/**
	 * Cost of a slowdown by 1 for an answer of mean length. The phase ends within the
	 * answer, and other requests need the slots of the fast engines as well.
	 */
	private static final double SLOW_ANSWER_COST_MS = 30;

	/** Longest answer in means for which a slow engine costs more. */
	private static final double MAX_ANSWER_RATIO = 2;

	/**
	 * Pause of the running streams from which it has a cost. Callers tolerate 400 ms, and
	 * prompts of other entries can be read in the same pass.
	 */
	private static final double FREE_PAUSE_MS = 200;

	/** Cost of a longer pause at a full engine, for each millisecond. */
	private static final double PAUSE_COST = 0.5;

	/** The rest of the current pass, half of it on average, and the own one. */
	private static final double PASSES_TO_FIRST_EVENT = 1.5;

	/**
	 * Cost of an engine that fails all requests; proportionally less for lower failure
	 * rates.
	 */
	private static final double FAILURE_COST_MS = 600;

	/**
	 * Safety margin for the network time to the caller and for load that other entries
	 * add.
	 */
	private static final double ON_TIME_MARGIN_MS = 40;

	private static final int TOP_RANK = 0;

	private static final int LOWEST_RANK = 3;

	private final EngineProfile profile;

	private final boolean ranked;

	private final RandomGenerator random;

	private WorkAwarePlacement(EngineProfile profile, boolean ranked, RandomGenerator random) {
		this.profile = profile;
		this.ranked = ranked;
		this.random = random;
	}

	/**
	 * Creates the placement of a service.
	 * @param profile performance profile of its engines
	 * @param ranked whether routes with different priorities compete for its engines
	 * @param random source of the draws
	 * @return the placement
	 */
	public static WorkAwarePlacement of(EngineProfile profile, boolean ranked, RandomGenerator random) {
		return new WorkAwarePlacement(profile, ranked, random);
	}

	@Override
	public PlacementDecision decide(EngineRequest request, List<BackendCandidate> candidates) {
		List<BackendCandidate> compared = withMeanLoad(candidates);
		double[] firstEventMs = compared.stream()
			.mapToDouble((candidate) -> predictFirstEventMs(request, candidate))
			.toArray();
		int fastest = 0;
		for (int i = 1; i < firstEventMs.length; i++) {
			fastest = (firstEventMs[i] < firstEventMs[fastest]) ? i : fastest;
		}
		Choice choice = new Choice(request, candidates, compared, firstEventMs, firstEventMs[fastest],
				remoteWeight(compared));
		int drawn = draw(choice, 0);
		if (drawn < 0 && request.reservedSlots() == 0 && this.ranked && request.priority() == TOP_RANK) {
			drawn = draw(choice, MAX_QUEUED_REQUESTS);
		}
		if (drawn < 0) {
			return new PlacementDecision.Reject(untilFreeSlotMs(choice), candidates.get(fastest).load(),
					firstEventMs[fastest]);
		}
		int priority = isOnTime(request, firstEventMs[drawn])
				? Math.max(TOP_RANK, Math.min(request.priority(), LOWEST_RANK)) : EnginePlacement.LATE_ENGINE_PRIORITY;
		return new PlacementDecision.Place(candidates.get(drawn).id(), priority, firstEventMs[drawn]);
	}

	// Engines without a recent report are compared as if they were as busy as the mean of
	// the others. Their remembered load halves with each second, and all entries would
	// send their requests there.
	private List<BackendCandidate> withMeanLoad(List<BackendCandidate> candidates) {
		double mean = candidates.stream()
			.filter(WorkAwarePlacement::isReported)
			.mapToInt(BackendCandidate::load)
			.average()
			.orElse(0);
		int assumed = (int) Math.min(this.profile.batchSlots() - 1, Math.round(mean));
		return candidates.stream()
			.map((candidate) -> isReported(candidate) ? candidate
					: candidate.withLoad(Math.max(candidate.load(), assumed)))
			.toList();
	}

	private static boolean isReported(BackendCandidate candidate) {
		return candidate.work().reportAgeMs() <= BackendLoad.MAX_REPORT_AGE_MS;
	}

	private double remoteWeight(List<BackendCandidate> candidates) {
		double busier = meanLoad(candidates, false) - meanLoad(candidates, true);
		return Math.min(1, REMOTE_WEIGHT * Math.exp(busier / SPILL_REQUESTS));
	}

	private double meanLoad(List<BackendCandidate> candidates, boolean remote) {
		return candidates.stream()
			.filter((candidate) -> (candidate.distance() == REMOTE) == remote)
			.mapToInt(BackendCandidate::load)
			.average()
			.orElse(this.profile.batchSlots());
	}

	// Returns the index of the drawn engine; -1 if none has room.
	private int draw(Choice choice, int queuedRequests) {
		int drawn = -1;
		double shortestRaceTime = Double.MAX_VALUE;
		for (int i = 0; i < choice.firstEventMs().length; i++) {
			if (!hasRoom(choice, i, queuedRequests)) {
				continue;
			}
			// The first of independent exponential times is each one's with a probability
			// proportional to its weight.
			double raceTime = -Math.log(1 - this.random.nextDouble()) / weight(choice, i);
			if (drawn < 0 || raceTime < shortestRaceTime) {
				drawn = i;
				shortestRaceTime = raceTime;
			}
		}
		return drawn;
	}

	private boolean hasRoom(Choice choice, int index, int queuedRequests) {
		EngineRequest request = choice.request();
		BackendCandidate candidate = choice.candidates().get(index);
		double firstEventMs = choice.firstEventMs()[index];
		boolean allowed = queuedRequests == 0 || isOnTime(request, firstEventMs);
		return allowed && firstEventMs <= request.deadlineLeftMs() && hasMemory(request, candidate)
				&& candidate.load() < loadLimit(request, candidate, firstEventMs) + queuedRequests;
	}

	private double weight(Choice choice, int index) {
		BackendCandidate candidate = choice.compared().get(index);
		int freeSlots = Math.max(0, this.profile.batchSlots() - candidate.load()) + UNCERTAIN_SLOTS;
		double costMs = choice.firstEventMs()[index] - choice.fastestMs()
				+ slowAnswerCostMs(choice.request(), candidate) + pauseCostMs(choice.request(), candidate)
				+ candidate.failureRate() * FAILURE_COST_MS;
		double distanceWeight = (candidate.distance() == REMOTE) ? choice.remoteWeight() : 1;
		return distanceWeight * freeSlots * Math.exp(-costMs / COST_SCALE_MS);
	}

	private double slowAnswerCostMs(EngineRequest request, BackendCandidate candidate) {
		double meanTokens = Math.max(1, this.profile.meanAnswerTokens());
		double answerRatio = (request.answerTokens() > 0) ? request.answerTokens() / meanTokens : 1;
		return (candidate.slowdownFactor() - 1) * SLOW_ANSWER_COST_MS * Math.min(MAX_ANSWER_RATIO, answerRatio);
	}

	private double pauseCostMs(EngineRequest request, BackendCandidate candidate) {
		int batchSize = Math.min(candidate.load() + 1, this.profile.batchSlots());
		double pauseMs = (this.profile.passMs(batchSize) + this.profile.prefillMs(request.promptTokens())
				+ ownUnreadMs(candidate)) * candidate.slowdownFactor();
		double busyFraction = (double) candidate.load() / this.profile.batchSlots();
		return Math.max(0, pauseMs - FREE_PAUSE_MS) * PAUSE_COST * busyFraction;
	}

	private static boolean isOnTime(EngineRequest request, double firstEventMs) {
		return firstEventMs + ON_TIME_MARGIN_MS <= request.targetLeftMs();
	}

	// Number of requests at the engine from which the request gets no slot.
	private int loadLimit(EngineRequest request, BackendCandidate candidate, double firstEventMs) {
		int lateSlots = isOnTime(request, firstEventMs) ? 0 : EnginePlacement.RESERVED_SLOTS;
		boolean remote = candidate.distance() == REMOTE;
		int remoteSlots = remote ? (int) Math.ceil(this.profile.batchSlots() * REMOTE_FREE_FRACTION) : 0;
		return this.profile.batchSlots() - Math.max(request.reservedSlots(), Math.max(lateSlots, remoteSlots));
	}

	// The complete prompts and answers of all requests must fit, those of other entries
	// counted at the mean.
	private boolean hasMemory(EngineRequest request, BackendCandidate candidate) {
		if (this.profile.kvCacheTokens() <= 0) {
			return true;
		}
		double otherTokens = others(candidate)
				* (double) (this.profile.meanPromptTokens() + this.profile.meanAnswerTokens());
		return candidate.work().ownContextTokens() + otherTokens + request.promptTokens()
				+ request.answerTokens() <= this.profile.kvCacheTokens();
	}

	private static int others(BackendCandidate candidate) {
		return Math.max(0, candidate.load() - candidate.work().ownRequests());
	}

	private double ownUnreadMs(BackendCandidate candidate) {
		return candidate.work().ownUnreadTokens() / this.profile.prefillTokensPerMs();
	}

	double predictFirstEventMs(EngineRequest request, BackendCandidate candidate) {
		int batchSize = Math.min(candidate.load() + 1, this.profile.batchSlots());
		double passMs = this.profile.passMs(batchSize);
		double currentPassMs = (candidate.load() == 0) ? 0 : passMs / 2;
		int queuedRequests = Math.max(0, candidate.load() + 1 - this.profile.batchSlots());
		double queueMs = queuedRequests * this.profile.completionIntervalMs();
		double ownWorkMs = this.profile.prefillMs(request.promptTokens()) + passMs;
		return (queueMs + currentPassMs + ownUnreadMs(candidate) + otherPromptsMs(candidate) + ownWorkMs)
				* candidate.slowdownFactor();
	}

	// An engine begins with a prompt once for each answer, so that a pass reads as many
	// prompts on average as there are requests, divided by the passes of an answer.
	private double otherPromptsMs(BackendCandidate candidate) {
		double passesPerAnswer = Math.max(1,
				(double) this.profile.meanAnswerTokens() / Math.max(1, this.profile.stepsPerPass()));
		return PASSES_TO_FIRST_EVENT * others(candidate) / passesPerAnswer
				* this.profile.prefillMs(this.profile.meanPromptTokens());
	}

	// Assumes that no other request takes the slot.
	private double untilFreeSlotMs(Choice choice) {
		double shortestMs = Double.MAX_VALUE;
		for (int i = 0; i < choice.firstEventMs().length; i++) {
			BackendCandidate candidate = choice.candidates().get(i);
			int limit = loadLimit(choice.request(), candidate, choice.firstEventMs()[i]);
			int completions = Math.max(1, candidate.load() - limit + 1);
			shortestMs = Math.min(shortestMs,
					completions * this.profile.completionIntervalMs() * candidate.slowdownFactor());
		}
		return shortestMs;
	}

	private record Choice(EngineRequest request, List<BackendCandidate> candidates, List<BackendCandidate> compared,
			double[] firstEventMs, double fastestMs, double remoteWeight) {

	}

}
