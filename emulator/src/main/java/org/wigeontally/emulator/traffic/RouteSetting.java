package org.wigeontally.emulator.traffic;

/**
 * What a run is made with. Immutable.
 *
 * @param size the user's size
 * @param policy how entries choose
 * @param offeredPerSecond mean requests a second
 * @param zoneGone true if one zone is out for the middle third of the window
 * @param windowMs length of the measured window
 * @param seed seed of all draws
 */
public record RouteSetting(UserSize size, Policy policy, double offeredPerSecond, boolean zoneGone, double windowMs,
		long seed) {

}
