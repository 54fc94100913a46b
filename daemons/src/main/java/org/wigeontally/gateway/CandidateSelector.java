package org.wigeontally.gateway;

import java.util.ArrayList;
import java.util.List;
import java.util.OptionalLong;
import java.util.Set;

import org.wigeontally.fleet.Service;
import org.wigeontally.fleet.SilencePolicy;
import org.wigeontally.fleet.VersionSchedule;
import org.wigeontally.placement.BackendCandidate;
import org.wigeontally.placement.EngineProfile;
import org.wigeontally.placement.ServiceTraits;
import org.wigeontally.schema.generated.HostSettings;

/**
 * Finds the backend servers that are eligible for a request: registered for its service,
 * not draining, in a zone that is in service and in an allowed region, with capacity for
 * another connection, not backing off after failures, and with the required version of
 * the weights. Runs on the event loop.
 */
final class CandidateSelector {

	private final FleetState fleet;

	private final HostSettings settings;

	private final VersionSchedule versionSchedule;

	CandidateSelector(FleetState fleet, HostSettings settings) {
		this.fleet = fleet;
		this.settings = settings;
		this.versionSchedule = VersionSchedule.of((long) settings.getBounds().getVersionMs());
	}

	/**
	 * Returns the backend servers that are eligible for a request.
	 * @param request the request
	 * @param service its service
	 * @param triedBackendIds ids of backend servers that were tried before
	 * @param nowMs the current time
	 * @return the eligible backend servers
	 */
	List<Backend> findCandidates(CallerRequest request, Service service, Set<String> triedBackendIds, long nowMs) {
		List<Backend> candidates = new ArrayList<>();
		for (Backend backend : this.fleet.backends()) {
			if (backend.record().service().equals(service.name()) && isEligible(request, service, backend, nowMs)
					&& !triedBackendIds.contains(backend.record().id())) {
				candidates.add(backend);
			}
		}
		return candidates;
	}

	/**
	 * Returns when the first backend server of a service can take requests again that has
	 * asked for a pause.
	 * @param service name of the service
	 * @param nowMs the current time
	 * @return milliseconds; empty if none has asked for a pause
	 */
	OptionalLong shortestPauseMs(String service, long nowMs) {
		long shortestMs = Long.MAX_VALUE;
		for (Backend backend : this.fleet.backends()) {
			long pauseMs = backend.health().remainingPauseMs(nowMs);
			if (backend.record().service().equals(service) && !backend.isLeaving() && pauseMs > 0) {
				shortestMs = Math.min(shortestMs, pauseMs);
			}
		}
		return (shortestMs == Long.MAX_VALUE) ? OptionalLong.empty() : OptionalLong.of(shortestMs);
	}

	/**
	 * Returns the backend servers of a service that accept no more requests now because
	 * their limit is used up.
	 * @param service name of the service
	 * @param nowMs the current time
	 * @return the backend servers
	 */
	List<Backend> findUsedUp(String service, long nowMs) {
		List<Backend> usedUp = new ArrayList<>();
		for (Backend backend : this.fleet.backends()) {
			if (backend.record().service().equals(service) && backend.isLimitUsedUp(nowMs)
					&& !backend.isClosed(nowMs, 0)) {
				usedUp.add(backend);
			}
		}
		return usedUp;
	}

	/**
	 * Returns the number of backend servers of a service, eligible or not.
	 * @param service name of the service
	 * @return the number
	 */
	int countBackends(String service) {
		int count = 0;
		for (Backend backend : this.fleet.backends()) {
			count += backend.record().service().equals(service) ? 1 : 0;
		}
		return count;
	}

	private boolean isEligible(CallerRequest request, Service service, Backend backend, long nowMs) {
		String zone = backend.record().zone();
		if (backend.isClosed(nowMs, 0) || this.fleet.isZoneEvacuated(zone)
				|| !request.isRegionAllowed(this.fleet.region(zone))) {
			return false;
		}
		if (backend.health().isBackingOff(nowMs) || !backend.pool().hasCapacity()
				|| !backend.warmupLimiter().hasCapacity(nowMs) || backend.isLimitUsedUp(nowMs)) {
			return false;
		}
		if (service.engine().isEmpty()) {
			return true;
		}
		if (backend.isLoading(nowMs) || this.fleet.agentReports().isLoadDisproven(backend)) {
			return false;
		}
		for (String model : service.engine().get().modelNames()) {
			long version = backend.loadedVersion(model, nowMs);
			if (version <= 0 || version < requiredVersion(model, backend.messageDelayMs(nowMs), nowMs)) {
				return false;
			}
		}
		return true;
	}

	/**
	 * Returns the oldest version of a model's weights to which requests may be sent.
	 * @param model name of the model
	 * @param messageDelayMs time that a request may take to the engine
	 * @param nowMs the current time
	 * @return the version; 0 if every version is allowed
	 */
	long requiredVersion(String model, long messageDelayMs, long nowMs) {
		return this.fleet.announcedVersions(model)
			.requiredVersion(nowMs, this.versionSchedule.placementEndMs(messageDelayMs));
	}

	long requiredVersion(EngineProfile model, long messageDelayMs, long nowMs) {
		long required = 0;
		for (String name : model.modelNames()) {
			required = Math.max(required, requiredVersion(name, messageDelayMs, nowMs));
		}
		return required;
	}

	/**
	 * Returns when requests that wait for a version of a model's weights are withdrawn.
	 * @param model name of the model
	 * @param version the version
	 * @param messageDelayMs time that the withdrawal may take to the engine
	 * @return the time
	 */
	long withdrawalMs(String model, long version, long messageDelayMs) {
		return this.fleet.announcedVersions(model)
			.endOfUseMs(version, this.versionSchedule.withdrawalMs(messageDelayMs));
	}

	BackendCandidate toPlacementCandidate(CallerRequest request, Backend backend, ServiceTraits traits, long nowMs) {
		int distance = distance(backend.record().zone());
		boolean avoided = SilencePolicy.isAvoided(backend.silentMs(nowMs), request.route().kind(),
				request.route().targetMs());
		double slowdownFactor = traits.variableSpeed() ? backend.load().speed().slowdownFactor(nowMs)
				: backend.load().slowdownFactor();
		return new BackendCandidate(backend.record().id(), distance,
				backend.load().estimatedRequests(nowMs, this.fleet.entryCount()), slowdownFactor,
				avoided ? 1 : backend.health().failureRate(nowMs), backend.load().blindRequests(nowMs));
	}

	private int distance(String zone) {
		if (zone.equals(this.settings.getZone())) {
			return 0;
		}
		return this.fleet.region(zone).equals(this.settings.getRegion()) ? 1 : 2;
	}

}
