package org.wigeontally.weights;

/**
 * One fetch of a chunk that the scheduler asked for.
 *
 * @param chunk index of the chunk
 * @param source host to fetch from; empty for the origin
 * @param duty true if the chunk comes into the region by this fetch
 */
public record Fetch(int chunk, String source, boolean assigned) {

	/**
	 * Tells whether the origin is the source.
	 * @return true for the origin
	 */
	public boolean fromOrigin() {
		return this.source.isEmpty();
	}

	/**
	 * How a fetch failed.
	 */
	public enum Failure {

		/** The source has no upload slot free. */
		BUSY,
		/** The source does not hold the chunk. */
		MISSING,
		/** The source cannot be reached, broke off or answered with an error. */
		UNREACHABLE,
		/** Too few bytes came in the last while. */
		STALLED,
		/** The bytes do not fit the digest. */
		CORRUPT

	}

}
