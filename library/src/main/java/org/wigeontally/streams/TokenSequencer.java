package org.wigeontally.streams;

/**
 * Ensures that each token of a stream is delivered exactly once and in order, also if the
 * stream moves to another engine. Not thread-safe.
 */
public final class TokenSequencer {

	private long nextIndex;

	private TokenSequencer(long nextIndex) {
		this.nextIndex = nextIndex;
	}

	/**
	 * Creates the sequencer of a new stream.
	 * @return the sequencer
	 */
	public static TokenSequencer create() {
		return new TokenSequencer(0);
	}

	/**
	 * Decides what to do with the next token from an engine.
	 * @param index index of the token in the stream
	 * @return the action to take
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
	 * Returns the number of delivered tokens, which is also the index of the next token
	 * to deliver.
	 * @return the number of tokens
	 */
	public long deliveredTokens() {
		return this.nextIndex;
	}

	/**
	 * Action to take for a token.
	 */
	public enum Action {

		/** Send the token to the caller. */
		DELIVER,
		/** Drop the token because the caller already has it. */
		DROP,
		/** Tokens before this one are missing; the stream must end as cut. */
		GAP

	}

}
