package org.wigeontally.weights;

import java.util.List;
import java.util.Map;
import java.util.TreeMap;

import org.wigeontally.schema.generated.BackendState;
import org.wigeontally.schema.generated.HostState;
import org.wigeontally.schema.generated.Liveness;
import org.wigeontally.schema.generated.VersionPhase;
import org.wigeontally.schema.generated.VersionProgress;

/**
 * Decides zone by zone where engines may load a version. Every agent computes the same
 * plan from the table of hosts: zones go in the order of their names, the next one starts
 * when every live engine of those before has the version loaded, by the engine's own
 * word, and nothing starts any more once a host says that the version failed. A host that
 * stays behind holds the roll; one that leaves or dies does not.
 */
public final class RolloutPlan {

	private RolloutPlan() {
	}

	/**
	 * Tells whether a zone's engines may load a version now.
	 * @param hosts table of hosts
	 * @param service service whose engines are to load it
	 * @param model name of the model
	 * @param version the version
	 * @param zone the zone
	 * @return true if its turn has come and nothing failed
	 */
	public static boolean mayLoad(List<HostState> hosts, String service, String model, String version, String zone) {
		Map<String, Boolean> loadedByZone = new TreeMap<>();
		for (HostState host : hosts) {
			if (host.getLiveness() != Liveness.LIVE) {
				continue;
			}
			for (BackendState backend : host.getBackendsList()) {
				if (!backend.getService().equals(service)) {
					continue;
				}
				if (hasFailed(backend, model, version)) {
					return false;
				}
				loadedByZone.merge(host.getHost().getZone(), backend.getVersion().equals(version), Boolean::logicalAnd);
			}
		}
		for (Map.Entry<String, Boolean> zoneLoaded : loadedByZone.entrySet()) {
			if (zoneLoaded.getKey().equals(zone)) {
				return true;
			}
			if (!zoneLoaded.getValue()) {
				return false;
			}
		}
		return true;
	}

	private static boolean hasFailed(BackendState backend, String model, String version) {
		for (VersionProgress progress : backend.getProgressList()) {
			if (progress.getModel().equals(model) && progress.getVersion().equals(version)
					&& progress.getPhase() == VersionPhase.FAILED) {
				return true;
			}
		}
		return false;
	}

}
