package org.wigeontally.emulator.configuration;

/**
 * Result of a simulation. Immutable.
 *
 * @param lastEntryMs time from the acknowledgement of the newest configuration until the
 * last live entry has it, not counting pauses of its process; 30 s if one never gets it
 * @param borderCopies bytes of records that entered the region that got most, divided by
 * the size of all records
 * @param otherAgeMs greatest age of the registrations at a ready entry meanwhile
 * @param unfinished entries that do not have it after 30 s
 * @param staleRequests requests placed by a configuration that was replaced more than 3 s
 * before
 */
public record SpreadResult(double lastEntryMs, double borderCopies, double otherAgeMs, int unfinished,
		double staleRequests) {

}
