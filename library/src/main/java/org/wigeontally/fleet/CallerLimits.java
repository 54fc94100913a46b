package org.wigeontally.fleet;

/**
 * Limits on the requests and connections of callers.
 *
 * @param maxHeaderBytes maximum size of the headers
 * @param maxBodyBytes maximum size of a body
 * @param headerTimeoutMs time within which the headers must be received
 * @param idleTimeoutMs time after which an idle connection is closed
 */
public record CallerLimits(int maxHeaderBytes, long maxBodyBytes, long headerTimeoutMs, long idleTimeoutMs) {

	/** Limits that apply until a configuration is known. */
	public static final CallerLimits DEFAULT = new CallerLimits(16 * 1024, 4 << 20, 3_000, 15_000);

}
