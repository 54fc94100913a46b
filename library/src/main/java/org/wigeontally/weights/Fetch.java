package org.wigeontally.weights;

/**
 * Fetch of one chunk, as chosen by the scheduler.
 *
 * @param chunk index of the chunk
 * @param source host to fetch from; empty for the origin
 * @param assigned true if this host brings the chunk into its region under the fetch
 * assignment
 */
public record Fetch(int chunk, String source, boolean assigned) {

	/**
	 * Returns whether the chunk is fetched from the origin.
	 * @return true if the source is the origin
	 */
	public boolean fromOrigin() {
		return this.source.isEmpty();
	}

	/**
	 * Reason why a fetch failed.
	 */
	public enum Failure {

		/** The source has no free upload slot. */
		BUSY,
		/** The source does not hold the chunk. */
		MISSING,
		/** The source is unreachable, closed the connection or replied with an error. */
		UNREACHABLE,
		/** Too few bytes arrived within the last interval. */
		STALLED,
		/** The bytes do not match the digest. */
		CORRUPT

	}

}
