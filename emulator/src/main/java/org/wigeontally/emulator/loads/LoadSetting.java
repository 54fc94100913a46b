package org.wigeontally.emulator.loads;

/**
 * A fleet and two announced versions. Immutable.
 *
 * @param engines number of engines
 * @param regions number of regions
 * @param versionGapMs time between the two announcements
 * @param firstArrivalMs time from an announcement until the first engine may hold all
 * chunks
 * @param lastArrivalMs time from an announcement until all engines hold all chunks
 * @param silenceMs how long the first engine that loads is silent meanwhile; 0 if not
 * @param agentDies true if the agent of the first engine that loads dies after its notice
 */
public record LoadSetting(int engines, int regions, long versionGapMs, long firstArrivalMs, long lastArrivalMs,
		long silenceMs, boolean agentDies) {

	/**
	 * Returns a fleet in three regions, without disruption.
	 * @param engines number of engines
	 * @param versionGapMs time between the two announcements
	 * @return the setting, with chunks that arrive after 4 to 7 s
	 */
	public static LoadSetting of(int engines, long versionGapMs) {
		return new LoadSetting(engines, 3, versionGapMs, 4_000, 7_000, 0, false);
	}

	/**
	 * Returns the same with other arrivals.
	 * @param firstMs time until the first engine may hold all chunks
	 * @param lastMs time until all engines hold all chunks
	 * @return the setting
	 */
	public LoadSetting withArrivals(long firstMs, long lastMs) {
		return new LoadSetting(this.engines, this.regions, this.versionGapMs, firstMs, lastMs, this.silenceMs,
				this.agentDies);
	}

	/**
	 * Returns the same with an engine that falls silent.
	 * @param durationMs how long it is silent
	 * @return the setting
	 */
	public LoadSetting withSilence(long durationMs) {
		return new LoadSetting(this.engines, this.regions, this.versionGapMs, this.firstArrivalMs, this.lastArrivalMs,
				durationMs, this.agentDies);
	}

	/**
	 * Returns the same with an agent that dies in its turn.
	 * @return the setting
	 */
	public LoadSetting withDyingAgent() {
		return new LoadSetting(this.engines, this.regions, this.versionGapMs, this.firstArrivalMs, this.lastArrivalMs,
				this.silenceMs, true);
	}

}
