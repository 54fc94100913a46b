package org.wigeontally.emulator.configuration;

/**
 * Load and disruption of a simulation. Immutable.
 *
 * @param entries number of entries
 * @param regions number of regions; the store is in the first one
 * @param recordBytes size of the configuration's record
 * @param disruption what happens while it is on its way
 */
public record SpreadSetting(int entries, int regions, int recordBytes, Disruption disruption) {

	/**
	 * Returns a load without disruption.
	 * @param entries number of entries
	 * @param regions number of regions
	 * @param recordBytes size of the configuration's record
	 * @return the setting
	 */
	public static SpreadSetting undisturbed(int entries, int regions, int recordBytes) {
		return new SpreadSetting(entries, regions, recordBytes, Disruption.NONE);
	}

	/**
	 * Returns the same load with a disruption.
	 * @param other the disruption
	 * @return the setting
	 */
	public SpreadSetting with(Disruption other) {
		return new SpreadSetting(this.entries, this.regions, this.recordBytes, other);
	}

	/**
	 * What happens while the configuration is on its way. What happens to a reader, or
	 * the store being down, begins when half of the record has arrived at the reader of a
	 * region without the store.
	 */
	public enum Disruption {

		/** Nothing. */
		NONE,
		/** The reader is killed. */
		READER_KILLED,
		/** The reader is paused for three seconds. */
		READER_FROZEN,
		/** The reader no longer reaches the store. */
		READER_CUT_OFF,
		/** The store refuses the reader's calls. */
		READER_TURNED_AWAY,
		/** A newer configuration follows after 300 ms. */
		NEWER_MEANWHILE,
		/** Ten configurations, one each 200 ms. */
		TEN_IN_A_ROW,
		/** Half of the entries start again, four each second. */
		HALF_RESTARTING,
		/** The store answers 300 ms later. */
		STORE_SLOW,
		/** The store is down for four seconds. */
		STORE_DOWN

	}

}
