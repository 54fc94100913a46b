package org.wigeontally.emulator.limits;

/**
 * Load and disruption of a simulation. Immutable.
 *
 * @param entries number of entries
 * @param unlimitedServers backend servers that never name a limit
 * @param limitedServers backend servers that name one
 * @param perSecond the limit of each of them
 * @param demandPerSecond requests of callers a second
 * @param oneEntry true if all callers are at one entry
 * @param disruption what happens while the limit is in force
 */
public record LimitSetting(int entries, int unlimitedServers, int limitedServers, double perSecond,
		double demandPerSecond, boolean oneEntry, Disruption disruption) {

	private static final double SERVICE_S = 0.08;

	private static final int MIN_SLOTS = 8;

	private static final double SLOT_RESERVE = 2;

	/**
	 * Returns a service that has only limited servers, with three times the demand that
	 * they accept.
	 * @param entries number of entries
	 * @param servers number of backend servers
	 * @param perSecond limit of each
	 * @param oneEntry true if all callers are at one entry
	 * @return the setting
	 */
	public static LimitSetting allLimited(int entries, int servers, double perSecond, boolean oneEntry) {
		return new LimitSetting(entries, 0, servers, perSecond, 3 * servers * perSecond, oneEntry, Disruption.NONE);
	}

	/**
	 * Returns a service with room at backend servers without a limit.
	 * @param entries number of entries
	 * @param perSecond limit of two of its six backend servers
	 * @return the setting
	 */
	public static LimitSetting mixed(int entries, double perSecond) {
		return new LimitSetting(entries, 4, 2, perSecond, 150, false, Disruption.NONE);
	}

	/**
	 * Returns the same load with a disruption.
	 * @param other the disruption
	 * @return the setting
	 */
	public LimitSetting with(Disruption other) {
		return new LimitSetting(this.entries, this.unlimitedServers, this.limitedServers, this.perSecond,
				this.demandPerSecond, this.oneEntry, other);
	}

	/**
	 * Returns the requests that a backend server runs at once. They are enough for the
	 * whole demand while nothing is limited.
	 * @return number of requests
	 */
	public int slots() {
		int servers = this.limitedServers + this.unlimitedServers;
		return MIN_SLOTS + (int) (SLOT_RESERVE * this.demandPerSecond / servers * SERVICE_S);
	}

	/**
	 * Returns what the backend servers without a limit can serve.
	 * @return requests per second
	 */
	public double unlimitedPerSecond() {
		return this.unlimitedServers * slots() / SERVICE_S;
	}

	/**
	 * Returns the sum of the limits.
	 * @return requests per second
	 */
	public double totalPerSecond() {
		return this.limitedServers * this.perSecond;
	}

	/**
	 * What happens while the limit is in force.
	 */
	public enum Disruption {

		/** Nothing. */
		NONE,
		/** The entry with the most permits to issue is paused for five seconds. */
		COORDINATOR_PAUSED,
		/** That entry starts again. */
		COORDINATOR_RESTARTED,
		/** The entries are cut into two groups for eight seconds. */
		PARTITION,
		/** Entries are added. */
		ENTRIES_ADDED,
		/** All entries start again at the same time. */
		ALL_RESTARTED,
		/** The limit changes with each answer, by a tenth up or down. */
		VARYING_LIMIT

	}

}
