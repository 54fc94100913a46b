package org.wigeontally.emulator.spreading;

/**
 * A fleet, its links and two versions announced shortly one after the other. Immutable.
 *
 * @param hosts number of hosts, dealt to three regions with two zones each
 * @param chunks chunks of a version
 * @param chunkBytes size of a chunk
 * @param links rates of the links
 * @param linkShare share of a host's link that its uploads may use
 * @param gapMs time between the announcements; 0 for a single version
 * @param boundMs time from an announcement to its bound
 * @param disruption what happens meanwhile
 */
public record SpreadSetting(int hosts, int chunks, int chunkBytes, SpreadNetwork.Rates links, double linkShare,
		long gapMs, long boundMs, Disruption disruption) {

	private static final double LINK_SHARE = 0.85;

	/**
	 * Returns 48 chunks on links of 6.58 Mbit/s.
	 * @param hosts number of hosts
	 * @return the setting, without disruption
	 */
	public static SpreadSetting contended(int hosts) {
		return new SpreadSetting(hosts, 48, 49_152, new SpreadNetwork.Rates(6_580, 9_000, 21_000), LINK_SHARE, 3_000,
				9_700, Disruption.NONE);
	}

	/**
	 * Returns 64 chunks on links of 5.32 Mbit/s.
	 * @param hosts number of hosts
	 * @return the setting, without disruption
	 */
	public static SpreadSetting uneven(int hosts) {
		return new SpreadSetting(hosts, 64, 32_768, new SpreadNetwork.Rates(5_320, 9_900, 17_500), LINK_SHARE, 3_000,
				8_000, Disruption.NONE);
	}

	/**
	 * Returns the same with a single version.
	 * @return the setting
	 */
	public SpreadSetting withSingleVersion() {
		return new SpreadSetting(this.hosts, this.chunks, this.chunkBytes, this.links, this.linkShare, 0, this.boundMs,
				this.disruption);
	}

	/**
	 * Returns the same with a disruption.
	 * @param changed what happens
	 * @return the setting
	 */
	public SpreadSetting with(Disruption changed) {
		return new SpreadSetting(this.hosts, this.chunks, this.chunkBytes, this.links, this.linkShare, this.gapMs,
				this.boundMs, changed);
	}

	/**
	 * Returns the least time in which the origin and a host's link carry a version.
	 * @return milliseconds
	 */
	public double leastMs() {
		double bits = 8.0 * this.chunks * this.chunkBytes;
		return bits / Math.min(this.links.hostKbps(), this.links.originKbps());
	}

	/**
	 * What happens while versions spread.
	 */
	public enum Disruption {

		/** Nothing. */
		NONE,
		/** A quarter more hosts start 1 s after the last announcement. */
		ADDED,
		/** One chunk in a hundred arrives corrupt. */
		CORRUPT,
		/** A tenth of the hosts die within 2 s of the last announcement. */
		KILLED,
		/** A configuration crosses every link: 1 Mbit to each host, 8 Mbit per border. */
		CONFIGURATION

	}

}
