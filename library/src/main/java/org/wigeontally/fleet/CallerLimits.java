package org.wigeontally.fleet;

/**
 * Bounds on what callers may send.
 *
 * @param headerBytes most bytes of the headers
 * @param bodyBytes most bytes of a body
 * @param headerTimeoutMs longest time to send the headers
 * @param idleTimeoutMs longest time for which a connection may be idle
 */
public record CallerLimits(int maxHeaderBytes, long maxBodyBytes, long headerTimeoutMs, long idleTimeoutMs) {

	/** Bounds that hold until a configuration is known. */
	public static final CallerLimits DEFAULT = new CallerLimits(16 * 1024, 4 << 20, 3_000, 15_000);

}
