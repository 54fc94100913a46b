package org.wigeontally.emulator.harmful;

/**
 * Load and disruptions of a simulation. Immutable.
 *
 * @param entries number of entries
 * @param engines number of engines
 * @param soundPerSecond sound requests a second
 * @param harmfulPerSecond requests a second with a part that crashes engines; 0 for none
 * @param secondPartPerSecond requests a second with another such part; 0 for none
 * @param crashedTogether engines that crash together every five seconds, whatever they
 * run; 0 for none
 */
public record HarmfulPartSetting(int entries, int engines, double soundPerSecond, double harmfulPerSecond,
		double secondPartPerSecond, int crashedTogether) {

	/** Today's fleet of the smaller deployments. */
	public static final HarmfulPartSetting SMALL_FLEET = new HarmfulPartSetting(9, 11, 140, 2, 0, 0);

	/**
	 * Returns the same setting without any harmful requests.
	 * @return the setting
	 */
	public HarmfulPartSetting withoutHarmfulRequests() {
		return new HarmfulPartSetting(this.entries, this.engines, this.soundPerSecond, 0, 0, this.crashedTogether);
	}

	/**
	 * Returns the same setting with another rate of harmful requests.
	 * @param perSecond requests a second with the first part
	 * @param secondPerSecond requests a second with the second part
	 * @return the setting
	 */
	public HarmfulPartSetting withHarmfulRequests(double perSecond, double secondPerSecond) {
		return new HarmfulPartSetting(this.entries, this.engines, this.soundPerSecond, perSecond, secondPerSecond,
				this.crashedTogether);
	}

	/**
	 * Returns the same setting with engines that crash together.
	 * @param count number of engines
	 * @return the setting
	 */
	public HarmfulPartSetting withCrashesTogether(int count) {
		return new HarmfulPartSetting(this.entries, this.engines, this.soundPerSecond, this.harmfulPerSecond,
				this.secondPartPerSecond, count);
	}

}
