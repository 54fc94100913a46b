package org.wigeontally.emulator.soak;

/**
 * Size and length of a soak. Immutable.
 *
 * @param entries number of entry processes
 * @param plainBackends number of plain backend servers
 * @param engines number of engines
 * @param callers number of callers that send one request after the other
 * @param lengthMs time with disruptions, milliseconds
 * @param seed seed of all random choices
 */
public record SoakSetting(int entries, int plainBackends, int engines, int callers, long lengthMs, long seed) {

	/**
	 * Returns the usual size.
	 * @param seed seed of all random choices
	 * @param lengthMs time with disruptions, milliseconds
	 * @return the setting
	 */
	public static SoakSetting usual(long seed, long lengthMs) {
		return new SoakSetting(4, 5, 4, 24, lengthMs, seed);
	}

}
