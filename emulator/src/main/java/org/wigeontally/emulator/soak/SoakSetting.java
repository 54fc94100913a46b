package org.wigeontally.emulator.soak;

/**
 * Size and length of a soak. Immutable.
 *
 * @param entries number of entry processes
 * @param plainBackends number of plain backend servers
 * @param engines number of engines
 * @param callers number of callers that send one request after the other
 * @param lengthMs time with disruptions, milliseconds
 * @param disruptions what disrupts the entries
 * @param seed seed of all random choices
 */
public record SoakSetting(int entries, int plainBackends, int engines, int callers, long lengthMs,
		SoakDisruptions disruptions, long seed) {

	private static final int CALLERS = 24;

	/** Enough to fill the engines while one of them is silent. */
	private static final int CALLERS_OF_SILENT_SERVERS = 60;

	/**
	 * Returns the usual size.
	 * @param seed seed of all random choices
	 * @param lengthMs time with disruptions, milliseconds
	 * @param disruptions what disrupts the entries
	 * @return the setting
	 */
	public static SoakSetting usual(long seed, long lengthMs, SoakDisruptions disruptions) {
		int callers = disruptions.hasSilences() ? CALLERS_OF_SILENT_SERVERS : CALLERS;
		return new SoakSetting(4, 5, 4, callers, lengthMs, disruptions, seed);
	}

}
