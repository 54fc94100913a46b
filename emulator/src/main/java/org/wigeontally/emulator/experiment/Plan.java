package org.wigeontally.emulator.experiment;

import java.util.List;

/**
 * What an experiment deploys. Immutable.
 *
 * @param zones availability zones
 * @param entriesPerZone entry hosts in each zone
 * @param hostsPerZone backend server hosts in each zone; each has an engine and a plain
 * service
 * @param engineArgs options of each engine, as on the emulator's command line
 * @param engineCapacity most requests that an engine takes at once
 * @param version version that the engines have at the start
 */
public record Plan(List<Zone> zones, int entriesPerZone, int hostsPerZone, List<String> engineArgs, int engineCapacity,
		String version) {

	/** Version that engines have at the start unless the plan says otherwise. */
	public static final String FIRST_VERSION = "v1";

	/** Version that the origin has too. */
	public static final String SECOND_VERSION = "v2";

	/** Another version that the origin has. */
	public static final String THIRD_VERSION = "v3";

	/** Size of each version at the origin, in bytes. */
	public static final int WEIGHT_BYTES = 4 << 20;

	/** The model. */
	public static final String MODEL = "assist";

	private static final int ENGINE_CAPACITY = 16;

	/**
	 * A small plan.
	 * @param zones how many availability zones, each in a region of its own
	 * @param entriesPerZone entry hosts in each
	 * @param hostsPerZone backend server hosts in each
	 * @return the plan
	 */
	public static Plan of(int zones, int entriesPerZone, int hostsPerZone) {
		List<Zone> list = new java.util.ArrayList<>();
		for (int number = 1; number <= zones; number++) {
			list.add(new Zone("region-" + number, "zone-" + number));
		}
		return new Plan(List.copyOf(list), entriesPerZone, hostsPerZone, List.of(), ENGINE_CAPACITY, FIRST_VERSION);
	}

	/**
	 * Returns a copy with other engines.
	 * @param capacity most requests that an engine takes at once
	 * @param args options of each engine
	 * @return the copy
	 */
	public Plan withEngines(int capacity, String... args) {
		return new Plan(this.zones, this.entriesPerZone, this.hostsPerZone, List.of(args), capacity, this.version);
	}

	/**
	 * An availability zone.
	 *
	 * @param region its region
	 * @param name its name
	 */
	public record Zone(String region, String name) {

	}

}
