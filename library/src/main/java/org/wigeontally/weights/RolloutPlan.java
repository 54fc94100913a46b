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
 * Decides in which availability zones engines may load a version. Every agent computes
 * the same plan from the table of hosts.
 *
 * <p>
 * Zones proceed in the order of their names. A zone starts when every live engine in the
 * zones before it reports the version as loaded. No engine starts to load once a live
 * host reports that the version failed. A live host that has not loaded the version
 * blocks the zones after its own; a host that leaves or fails does not.
 */
public final class RolloutPlan {

	private RolloutPlan() {
	}

	/**
	 * Returns whether the engines of a zone may load a version now.
	 * @param hosts table of hosts
	 * @param service service whose engines load the version
	 * @param model name of the model
	 * @param version the version
	 * @param zone the zone
	 * @return true if the zones before have loaded the version and no engine failed
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
