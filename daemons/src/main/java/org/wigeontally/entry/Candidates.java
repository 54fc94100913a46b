package org.wigeontally.entry;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;

import org.wigeontally.configuration.Configuration;
import org.wigeontally.control.ControlView;
import org.wigeontally.schema.generated.BackendState;
import org.wigeontally.schema.generated.HostState;
import org.wigeontally.schema.generated.Liveness;
import org.wigeontally.schema.generated.Role;
import org.wigeontally.schema.generated.Service;

/**
 * Selects the hosts that a request may be sent to, from the state that the entry knows.
 * That state may be out of date, so the agent checks again.
 */
final class Candidates {

	private Candidates() {
	}

	/**
	 * Lists the hosts that a request may be sent to.
	 * @param view control view of the entry
	 * @param service the service
	 * @param version model version that the request is pinned to; empty for any
	 * @param triedHosts hosts that the request was already sent to
	 * @return hosts with a live agent and the service up, that are neither draining nor
	 * in an availability zone that is out of service; in no particular order
	 */
	static List<HostState> eligibleHosts(ControlView view, Service service, String version, Set<String> triedHosts) {
		Configuration configuration = view.configuration();
		List<HostState> candidates = new ArrayList<>();
		for (HostState state : view.hosts()) {
			String host = state.getHost().getHost();
			if (state.getHost().getRole() != Role.AGENT || state.getLiveness() != Liveness.LIVE) {
				continue;
			}
			if (triedHosts.contains(host) || configuration.isHostDraining(host)
					|| configuration.isZoneOut(state.getHost().getZone())) {
				continue;
			}
			if (findBackend(state, service.getName(), version).isPresent()) {
				candidates.add(state);
			}
		}
		return candidates;
	}

	/**
	 * Returns the backend server of a service on a host if it is up and has the version.
	 * @param state state of the host
	 * @param service name of the service
	 * @param version the version; empty for any
	 * @return the backend server; empty if none matches
	 */
	static Optional<BackendState> findBackend(HostState state, String service, String version) {
		for (BackendState backend : state.getBackendsList()) {
			boolean versionMatches = version.isEmpty() || backend.getVersion().equals(version);
			if (backend.getService().equals(service) && backend.getUp() && versionMatches) {
				return Optional.of(backend);
			}
		}
		return Optional.empty();
	}

	/**
	 * Draws the model version that a request is pinned to. While engines are still
	 * loading the version in force, requests are distributed over that version and the
	 * previous ones in proportion to the number of hosts that have each.
	 * @param view control view of the entry
	 * @param service the service
	 * @param triedHosts hosts that the request was already sent to
	 * @param draw random number in [0, 1)
	 * @return the version; empty for a service without a model
	 */
	static String drawVersion(ControlView view, Service service, Set<String> triedHosts, double draw) {
		List<String> versions = view.configuration().servableVersions(service.getModel());
		if (versions.size() < 2) {
			return versions.isEmpty() ? "" : versions.get(0);
		}
		List<Integer> hostCounts = versions.stream()
			.map((version) -> eligibleHosts(view, service, version, triedHosts).size())
			.toList();
		double remaining = draw * hostCounts.stream().mapToInt(Integer::intValue).sum();
		for (int i = 0; i < hostCounts.size(); i++) {
			remaining -= hostCounts.get(i);
			if (remaining < 0) {
				return versions.get(i);
			}
		}
		return versions.get(0);
	}

}
