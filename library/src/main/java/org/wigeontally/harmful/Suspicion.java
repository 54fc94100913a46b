package org.wigeontally.harmful;

/**
 * Classification of a request content, which determines how its requests are handled.
 * Immutable.
 *
 * @param level how strongly the content is suspected
 * @param lossCount number of backend servers that were lost while the content ran and of
 * which it has not been cleared
 * @param expiresInMs time until the last of its losses expires; 0 if the content is not
 * refused
 */
public record Suspicion(Level level, int lossCount, long expiresInMs) {

	static final Suspicion NONE = new Suspicion(Level.NONE, 0, 0);

	/**
	 * How strongly a content is suspected.
	 */
	public enum Level {

		/** Not suspected. */
		NONE,
		/** Sent with a suspect mark; does not run concurrently with another suspect. */
		SUSPECT,
		/** Refused at once. */
		HARMFUL

	}

}
