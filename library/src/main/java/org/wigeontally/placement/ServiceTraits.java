package org.wigeontally.placement;

/**
 * What the configuration and the backend servers of a service say about its load. It
 * decides which placement the service gets: a service without any of these traits is
 * placed by the number of requests alone.
 *
 * @param ranked true if routes with different priorities compete for its engines
 * @param variableSpeed true if its backend servers report how fast they work at the
 * moment
 */
public record ServiceTraits(boolean ranked, boolean variableSpeed) {

	/** A service whose requests have one rank and whose servers have a steady speed. */
	public static final ServiceTraits UNIFORM = new ServiceTraits(false, false);

	/**
	 * Returns whether requests are placed by work, rank and speed, and may wait at the
	 * entry for a slot.
	 * @return false if they are placed by the number of requests alone
	 */
	public boolean isScheduled() {
		return this.ranked || this.variableSpeed;
	}

}
