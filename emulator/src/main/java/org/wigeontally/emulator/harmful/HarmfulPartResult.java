package org.wigeontally.emulator.harmful;

/**
 * Result of a simulation. Immutable.
 *
 * @param crashes engines that were crashed by requests with a harmful part
 * @param sentAfterFifthCrash requests with such a part that reached an engine later than
 * three seconds after its fifth crash
 * @param sound sound requests whose prompts share the first part with the harmful ones
 * @param soundBegun those whose answers began at the first attempt
 * @param falseRefusals sound requests that were refused
 */
public record HarmfulPartResult(int crashes, int sentAfterFifthCrash, int sound, int soundBegun, int falseRefusals) {

	/**
	 * Returns the share of sound requests whose answers began at the first attempt.
	 * @return from 0 to 1
	 */
	public double soundShare() {
		return (this.sound == 0) ? 1 : (double) this.soundBegun / this.sound;
	}

}
