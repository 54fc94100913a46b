package org.wigeontally.placement;

import java.util.LinkedHashSet;
import java.util.Set;

/**
 * The requests of this entry that run or wait at one engine, with the work that they
 * still need.
 *
 * <p>
 * It answers requests that look alike and need very different work: prompts of different
 * length that are read before the first event, and answers with a long tail. Of the
 * requests of other entries only the number is known; they count at mean work where this
 * is used. An entry that restarts has none and counts all at mean work. Used by one
 * thread.
 */
public final class EngineBacklog {

	/** Largest prompt that is believed; a false figure must not close an engine. */
	private static final int MAX_PROMPT_TOKENS = 1 << 15;

	private final Set<OwnRequest> requests = new LinkedHashSet<>();

	private EngineBacklog() {
	}

	/**
	 * Creates the backlog of an engine without requests of this entry.
	 * @return the backlog
	 */
	public static EngineBacklog create() {
		return new EngineBacklog();
	}

	/**
	 * Records that a request was sent.
	 * @param promptTokens tokens of its prompt
	 * @param answer expected length of its answer
	 * @return the request, to be told of its progress
	 */
	public OwnRequest add(int promptTokens, AnswerLength answer) {
		OwnRequest request = new OwnRequest(promptTokens, answer);
		this.requests.add(request);
		return request;
	}

	/**
	 * Returns the work that is known now.
	 * @param lengths estimator of answer lengths
	 * @param reportAgeMs age of the newest report of the engine's load
	 * @return the work
	 */
	public EngineWork work(AnswerLengthEstimator lengths, long reportAgeMs) {
		double unread = 0;
		double remaining = 0;
		double context = 0;
		for (OwnRequest request : this.requests) {
			double rest = lengths.remainingTokens(request.answer, request.writtenTokens);
			unread += (request.writtenTokens == 0) ? request.promptTokens : 0;
			remaining += rest;
			context += request.promptTokens + request.writtenTokens + rest;
		}
		return new EngineWork(this.requests.size(), unread, remaining, context, reportAgeMs);
	}

	/** A request of this entry. */
	public final class OwnRequest {

		private final int promptTokens;

		private final AnswerLength answer;

		private int writtenTokens;

		private OwnRequest(int promptTokens, AnswerLength answer) {
			this.promptTokens = Math.max(0, Math.min(promptTokens, MAX_PROMPT_TOKENS));
			this.answer = answer;
		}

		/**
		 * Records how much of the answer has arrived.
		 * @param tokens tokens so far; the prompt was read once there is one
		 */
		public void setWrittenTokens(int tokens) {
			this.writtenTokens = tokens;
		}

		/**
		 * Returns how much of the answer has arrived.
		 * @return number of tokens
		 */
		public int writtenTokens() {
			return this.writtenTokens;
		}

		/**
		 * Returns what was expected of the answer.
		 * @return its expected length
		 */
		public AnswerLength answer() {
			return this.answer;
		}

		/** Records that the request ended at the engine, successfully or not. */
		public void end() {
			EngineBacklog.this.requests.remove(this);
		}

	}

}
