package org.wigeontally.gateway;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;

import org.wigeontally.eventlog.LogEvent;
import org.wigeontally.fleet.RetryAfter;
import org.wigeontally.fleet.Service;
import org.wigeontally.fleet.SilencePolicy;
import org.wigeontally.placement.AnswerLength;
import org.wigeontally.placement.BackendCandidate;
import org.wigeontally.placement.EngineProfile;
import org.wigeontally.placement.EngineRequest;
import org.wigeontally.placement.ExpectedWork;
import org.wigeontally.placement.PlacementDecision;
import org.wigeontally.placement.ServiceTraits;

/**
 * Chooses the backend server for each sending of a request, and the time to return for
 * requests that none can take. Runs on the event loop.
 */
final class RequestPlacer {

	/**
	 * Retry delay for callers if no backend server is available. It takes seconds for one
	 * to become available.
	 */
	static final double NO_BACKEND_RETRY_AFTER_MS = 1_200;

	/** Refusal reason if there are engines, but no slot for the request. */
	static final String ENGINES_FULL = "engines-full";

	private final GatewayContext context;

	private final CandidateSelector selector;

	RequestPlacer(GatewayContext context, CandidateSelector selector) {
		this.context = context;
		this.selector = selector;
	}

	/**
	 * Places a request.
	 * @param request the request
	 * @param triedBackendIds ids of backend servers that were tried before
	 * @param targetLeftMs time left to meet its target
	 * @param deadlineLeftMs time left until its deadline
	 * @return the decision; reasons against a placement are logged
	 */
	Placement place(CallerRequest request, Set<String> triedBackendIds, long targetLeftMs, long deadlineLeftMs) {
		long nowMs = this.context.nowMs();
		Service service = this.context.fleet().service(request.service());
		List<Backend> candidates = candidates(request, service, triedBackendIds, nowMs);
		if (candidates.isEmpty()) {
			this.context.log()
				.write(LogEvent.REQUEST_NOT_PLACED, "id", request.attemptId(), "service", request.service(),
						"candidates", 0, "known", this.selector.countBackends(request.service()), "tried",
						triedBackendIds.size());
			return withoutCandidate(request.service(), nowMs);
		}
		Placement placement = choose(request, service, candidates, targetLeftMs, deadlineLeftMs, nowMs);
		if (triedBackendIds.isEmpty()) {
			this.context.rankReservations().recordPlacement(request, placement);
		}
		return placement;
	}

	/**
	 * Tries to place a request that waits. Reasons against a placement are not logged,
	 * since it is tried many times.
	 * @param request the request
	 * @param triedBackendIds ids of backend servers that were tried before
	 * @param targetLeftMs time left to meet its target
	 * @param deadlineLeftMs time left until its deadline
	 * @return where it is sent; empty if it goes on waiting
	 */
	Optional<Placement.Placed> placeWaiting(CallerRequest request, Set<String> triedBackendIds, long targetLeftMs,
			long deadlineLeftMs) {
		long nowMs = this.context.nowMs();
		Service service = this.context.fleet().service(request.service());
		List<Backend> candidates = candidates(request, service, triedBackendIds, nowMs);
		if (candidates.isEmpty()) {
			return Optional.empty();
		}
		Placement placement = choose(request, service, candidates, targetLeftMs, deadlineLeftMs, nowMs, false);
		if (!(placement instanceof Placement.Placed placed)) {
			return Optional.empty();
		}
		this.context.rankReservations().recordPlacement(request, placed);
		return Optional.of(placed);
	}

	/**
	 * Places a request a second time while its first attempt is silent. Limited backend
	 * servers are left to requests that have no attempt yet.
	 * @param request the request
	 * @param triedBackendIds ids of backend servers that were tried before
	 * @param targetLeftMs time left to meet its target
	 * @param deadlineLeftMs time left until its deadline
	 * @return where it is sent; empty if no backend server is fit and has a place
	 */
	Optional<Placement.Placed> placeSuccessor(CallerRequest request, Set<String> triedBackendIds, long targetLeftMs,
			long deadlineLeftMs) {
		long nowMs = this.context.nowMs();
		Service service = this.context.fleet().service(request.service());
		List<Backend> candidates = candidates(request, service, triedBackendIds, nowMs).stream()
			.filter((backend) -> isFitAsSuccessor(request, backend, nowMs))
			.toList();
		if (candidates.isEmpty()) {
			return Optional.empty();
		}
		Placement placement = choose(request, service, candidates, targetLeftMs, deadlineLeftMs, nowMs);
		return (placement instanceof Placement.Placed placed) ? Optional.of(placed) : Optional.empty();
	}

	private static boolean isFitAsSuccessor(CallerRequest request, Backend backend, long nowMs) {
		return !backend.limit().isNamed()
				&& SilencePolicy.isFitAsSuccessor(request.route().kind(), backend.silentMs(nowMs));
	}

	private Placement choose(CallerRequest request, Service service, List<Backend> candidates, long targetLeftMs,
			long deadlineLeftMs, long nowMs) {
		return choose(request, service, candidates, targetLeftMs, deadlineLeftMs, nowMs, true);
	}

	private Placement choose(CallerRequest request, Service service, List<Backend> candidates, long targetLeftMs,
			long deadlineLeftMs, long nowMs, boolean logged) {
		ServiceTraits traits = this.context.traits(service.name());
		List<BackendCandidate> placementCandidates = candidates.stream()
			.map((backend) -> this.selector.toPlacementCandidate(request, backend, traits, nowMs))
			.toList();
		if (service.engine().isEmpty()) {
			String id = this.context.plainPlacement().chooseBackend(placementCandidates);
			return new Placement.Placed(findById(candidates, id), -1, VersionRequirement.NONE, Optional.empty());
		}
		EngineProfile profile = service.engine().get();
		int reservedSlots = this.context.rankReservations().reservedSlots(request, profile, placementCandidates);
		int promptTokens = request.promptTokens(profile.meanPromptTokens());
		Optional<AnswerLength> answer = traits.isScheduled() ? Optional.of(estimateAnswer(request, profile))
				: Optional.empty();
		EngineRequest engineRequest = new EngineRequest(promptTokens,
				answer.map(AnswerLength::expectedTokens).orElse((double) profile.meanAnswerTokens()), targetLeftMs,
				deadlineLeftMs, request.priority(), reservedSlots);
		PlacementDecision decision = this.context.enginePlacement(profile, traits)
			.decide(engineRequest,
					traits.isScheduled() ? withWork(placementCandidates, candidates, nowMs) : placementCandidates);
		if (decision instanceof PlacementDecision.Reject rejection) {
			if (logged) {
				logRejection(request, engineRequest, rejection, candidates.size());
			}
			return notPlaced(ENGINES_FULL, rejection.retryAfterMs());
		}
		PlacementDecision.Place placement = (PlacementDecision.Place) decision;
		Backend chosen = findById(candidates, placement.id());
		return new Placement.Placed(chosen, placement.enginePriority(),
				VersionRequirement.of(this.selector, profile, chosen),
				answer.map((length) -> new ExpectedWork(profile, promptTokens, length, placement.firstEventMs())));
	}

	private List<BackendCandidate> withWork(List<BackendCandidate> placementCandidates, List<Backend> backends,
			long nowMs) {
		List<BackendCandidate> known = new ArrayList<>();
		for (int i = 0; i < backends.size(); i++) {
			Backend backend = backends.get(i);
			known.add(placementCandidates.get(i)
				.withWork(backend.backlog().work(this.context.answerLengths(), backend.load().reportAgeMs(nowMs))));
		}
		return known;
	}

	private AnswerLength estimateAnswer(CallerRequest request, EngineProfile profile) {
		return this.context.answerLengths()
			.estimate(request.route().name(), request.organisationName(), request.lengthHint(),
					request.maxAnswerTokens(), profile.meanAnswerTokens());
	}

	private void logRejection(CallerRequest request, EngineRequest engineRequest, PlacementDecision.Reject rejection,
			int candidates) {
		this.context.log()
			.write(LogEvent.REQUEST_NOT_PLACED, "id", request.attemptId(), "service", request.service(), "candidates",
					candidates, "best-load", rejection.engineLoad(), "first-event-ms",
					Math.round(rejection.firstEventMs()), "rank", engineRequest.priority(), "reserved-slots",
					engineRequest.reservedSlots(), "target-left-ms", Math.round(engineRequest.targetLeftMs()),
					"deadline-left-ms", Math.round(engineRequest.deadlineLeftMs()));
	}

	private Placement withoutCandidate(String service, long nowMs) {
		OptionalLong pauseMs = this.selector.shortestPauseMs(service, nowMs);
		if (pauseMs.isPresent()) {
			return notPlaced("backends-paused", pauseMs.getAsLong());
		}
		List<Backend> usedUp = this.selector.findUsedUp(service, nowMs);
		if (usedUp.isEmpty()) {
			return notPlaced("no-backend", NO_BACKEND_RETRY_AFTER_MS);
		}
		long nextInMs = usedUp.stream().mapToLong((backend) -> backend.permits().heldMs(nowMs)).min().getAsLong();
		double totalPerSecond = usedUp.stream().mapToDouble((backend) -> backend.limit().perSecond()).sum();
		double backlogMs = this.context.rejectedByLimits(service)
			.record(totalPerSecond, this.context.fleet().entryCount(), nowMs);
		return new Placement.NotPlaced("limits-used-up",
				(remainingMs) -> RetryAfter.spreadSeconds(nextInMs, backlogMs, remainingMs, this.context.random()));
	}

	private Placement notPlaced(String reason, double retryAfterMs) {
		return new Placement.NotPlaced(reason,
				(remainingMs) -> RetryAfter.seconds(retryAfterMs, remainingMs, this.context.random()));
	}

	private List<Backend> candidates(CallerRequest request, Service service, Set<String> triedBackendIds, long nowMs) {
		return (service != null) ? this.selector.findCandidates(request, service, triedBackendIds, nowMs) : List.of();
	}

	private static Backend findById(List<Backend> candidates, String id) {
		for (Backend candidate : candidates) {
			if (candidate.record().id().equals(id)) {
				return candidate;
			}
		}
		throw new IllegalStateException("placement chose a backend server that is not a candidate: " + id);
	}

}
