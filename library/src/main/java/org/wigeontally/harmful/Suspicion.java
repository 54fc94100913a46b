package org.wigeontally.harmful;

/**
 * What is to be done with a request of some content. Immutable.
 *
 * @param level how strongly it is suspected
 * @param losses backend servers lost while it ran
 * @param remainingMs time until the content is forgotten; 0 if it is not refused
 */
public record Suspicion(Level level, int lossCount, long expiresInMs) {

	static final Suspicion NONE = new Suspicion(Level.NONE, 0, 0);

	/**
	 * How strongly a content is suspected.
	 */
	public enum Level {

		/** Not suspected. */
		NONE,
		/** To be sent marked as a suspect, which runs beside no other suspect. */
		SUSPECT,
		/** To be refused at once. */
		HARMFUL

	}

}
