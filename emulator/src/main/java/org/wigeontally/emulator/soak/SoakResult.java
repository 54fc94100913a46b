package org.wigeontally.emulator.soak;

import java.util.List;

/**
 * Result of a soak. Immutable.
 *
 * @param requests requests of all callers
 * @param servedShare part of them that were served
 * @param connections connections that the entries opened to backend servers
 * @param longestStallMs longest time for which the stand-ins and callers were held up
 * @param disruptions the disruptions in their order, each with its time
 * @param violations what broke a promise
 */
public record SoakResult(int requests, double servedShare, int connections, long longestStallMs,
		List<String> disruptions, List<String> violations) {

	/**
	 * Describes the result for a failed test.
	 * @return the violations, then the disruptions
	 */
	public String describe() {
		return String.join("\n", this.violations) + "\nafter\n" + String.join("\n", this.disruptions);
	}

}
