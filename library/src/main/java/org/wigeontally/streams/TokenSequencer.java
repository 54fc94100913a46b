package org.wigeontally.streams;

/**
 * Keeps a stream whole across engines: each token passes once and in order. Used by one
 * thread at a time.
 */
public final class TokenSequencer {

	private long nextIndex;

	private TokenSequencer(long next) {
		this.nextIndex = next;
	}

	/**
	 * Creates the order of a new stream.
	 * @return the order
	 */
	public static TokenSequencer create() {
		return new TokenSequencer(0);
	}

	/**
	 * Judges the next token from an engine.
	 * @param index index of the token in the stream
	 * @return what to do with it
	 */
	public Action accept(long index) {
		if (index < this.nextIndex) {
			return Action.DROP;
		}
		if (index > this.nextIndex) {
			return Action.GAP;
		}
		this.nextIndex++;
		return Action.DELIVER;
	}

	/**
	 * Returns the index after the last token delivered.
	 * @return the index
	 */
	public long deliveredTokens() {
		return this.nextIndex;
	}

	/**
	 * What to do with a token.
	 */
	public enum Action {

		/** Send it to the caller. */
		DELIVER,
		/** The caller has it already. */
		DROP,
		/** Tokens before it are missing: the stream must end as cut. */
		GAP

	}

}
