package org.wigeontally.emulator.experiment;

/**
 * What load to send. Immutable.
 *
 * @param perSecond requests started each second, whatever the answers
 * @param durationMs how long, in milliseconds
 * @param tokens tokens asked for in each stream
 * @param streamShare share of streams among the requests
 * @param bookingShare share of bookings that must run at most once; the rest are reads
 * @param credential credential of the caller
 * @param deadlineMs longest time for a request with all re-sends, in milliseconds
 */
public record LoadOptions(double perSecond, long durationMs, int tokens, double streamShare, double bookingShare,
		String credential, long deadlineMs) {

	private static final int TOKENS = 8;

	private static final long DEADLINE_MS = 15_000;

	/**
	 * A mix of streams, bookings and reads.
	 * @param perSecond requests started each second
	 * @param durationMs how long, in milliseconds
	 * @param credential credential of the caller
	 * @return the options
	 */
	public static LoadOptions mixed(double perSecond, long durationMs, String credential) {
		return new LoadOptions(perSecond, durationMs, TOKENS, 0.5, 0.3, credential, DEADLINE_MS);
	}

	/**
	 * Streams only.
	 * @param perSecond requests started each second
	 * @param durationMs how long, in milliseconds
	 * @param credential credential of the caller
	 * @return the options
	 */
	public static LoadOptions streams(double perSecond, long durationMs, String credential) {
		return new LoadOptions(perSecond, durationMs, TOKENS, 1, 0, credential, DEADLINE_MS);
	}

}
