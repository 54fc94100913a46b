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
 * Which hosts may get a request now, by what the entry holds. The agent checks again.
 */
final class Candidates {

	private Candidates() {
	}

	/**
	 * Lists the hosts.
	 * @param view control of the entry
	 * @param service the service
	 * @param version version that the request is pinned to; empty for none
	 * @param triedHosts hosts that were tried already
	 * @return live agents of zones in work with the service up, in no order
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
	 * Returns a host's backend server of a service that is up and has the version.
	 * @param state the host
	 * @param service name of the service
	 * @param version the version; empty for any
	 * @return the backend server, if there is one
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
	 * Chooses the version that a request is pinned to. While engines still load the
	 * version in force, requests share out over it and the versions before in proportion
	 * to the hosts that have each.
	 * @param view control of the entry
	 * @param service the service
	 * @param triedHosts hosts that were tried already
	 * @param draw a random number from 0 to below 1
	 * @return the version; empty for a plain service
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
