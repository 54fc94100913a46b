package org.wigeontally.emulator.traffic;

import java.util.Locale;

/**
 * Sizes and latencies of the users' systems.
 */
public enum UserSize {

	/** Koro: 9 entry hosts, 6 replicas. */
	KORO(9, 6, 1, 2, 3),
	/** Caroni: 8 entry hosts, 11 replicas. */
	CARONI(8, 11, 1.5, 3, 1);

	/** Number of availability zones, each in a region of its own. */
	public static final int ZONES = 3;

	private final int entries;

	private final int replicas;

	private final double zoneMs;

	private final double regionMs;

	private final double clientMs;

	UserSize(int entries, int replicas, double zoneMs, double regionMs, double clientMs) {
		this.entries = entries;
		this.replicas = replicas;
		this.zoneMs = zoneMs;
		this.regionMs = regionMs;
		this.clientMs = clientMs;
	}

	/**
	 * Finds a size by the user's name.
	 * @param name the name in any case
	 * @return the size
	 */
	public static UserSize named(String name) {
		return valueOf(name.toUpperCase(Locale.ROOT));
	}

	/**
	 * Returns the number of entry hosts.
	 * @return the number
	 */
	public int entries() {
		return this.entries;
	}

	/**
	 * Returns the number of replicas of the assistant's service.
	 * @return the number
	 */
	public int replicas() {
		return this.replicas;
	}

	/**
	 * Returns the latency of one way between two zones.
	 * @param from index of a zone
	 * @param to index of a zone
	 * @return milliseconds
	 */
	public double latencyMs(int from, int to) {
		return (from == to) ? this.zoneMs : this.regionMs;
	}

	/**
	 * Returns the latency of one way between a caller and an entry.
	 * @return milliseconds
	 */
	public double clientMs() {
		return this.clientMs;
	}

}
