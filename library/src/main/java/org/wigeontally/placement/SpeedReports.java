package org.wigeontally.placement;

import java.util.HashMap;
import java.util.Map;

/**
 * Remembers which services have backend servers that tell how fast they work. Used by one
 * thread.
 */
public final class SpeedReports {

	/**
	 * Time for which a service counts as one with variable speed. Every answer of such a
	 * service tells the speed, so that a minute without one is a minute without answers,
	 * or its servers tell it no longer.
	 */
	private static final long LIFETIME_MS = 60_000;

	/** Services that are remembered; more than a configuration has. */
	private static final int MAX_SERVICES = 1_000;

	private final Map<String, Long> toldAtMs = new HashMap<>();

	private SpeedReports() {
	}

	/**
	 * Creates the memory.
	 * @return without any service
	 */
	public static SpeedReports create() {
		return new SpeedReports();
	}

	/**
	 * Records that a backend server has told its speed.
	 * @param service name of its service
	 * @param nowMs current time in milliseconds
	 */
	public void record(String service, long nowMs) {
		if (this.toldAtMs.size() >= MAX_SERVICES && !this.toldAtMs.containsKey(service)) {
			this.toldAtMs.clear();
		}
		this.toldAtMs.put(service, nowMs);
	}

	/**
	 * Returns whether a backend server of a service has lately told its speed.
	 * @param service name of the service
	 * @param nowMs current time in milliseconds
	 * @return true if one has
	 */
	public boolean isVariable(String service, long nowMs) {
		Long lastMs = this.toldAtMs.get(service);
		return lastMs != null && nowMs - lastMs <= LIFETIME_MS;
	}

}
