package org.wigeontally.emulator.spreading;

import java.util.List;

/**
 * How versions spread.
 *
 * @param newestMs times from the announcement of the newest version until each surviving
 * host held it, ascending; hosts added later are left out
 * @param olderMs times of the hosts that held the older version, from its announcement
 * @param olderInTime share of the hosts that held the older or the newest version before
 * the load deadline of the older one
 * @param newestInTime share of the hosts that held the newest version before its load
 * deadline
 * @param originCopies bytes from the origin for the newest version, in copies
 * @param borderCopies bytes of the newest version into the region that received most over
 * its borders, in copies
 * @param liveDelayMs 99th percentile of the queues that live requests met on hosts' links
 */
public record SpreadResult(List<Double> newestMs, List<Double> olderMs, double olderInTime, double newestInTime,
		double originCopies, double borderCopies, double liveDelayMs) {

	/**
	 * Returns the time until half of the hosts held the newest version.
	 * @return milliseconds
	 */
	public double medianMs() {
		return this.newestMs.get((this.newestMs.size() - 1) / 2);
	}

	/**
	 * Returns the time until all hosts held the newest version.
	 * @return milliseconds
	 */
	public double lastMs() {
		return this.newestMs.get(this.newestMs.size() - 1);
	}

}
