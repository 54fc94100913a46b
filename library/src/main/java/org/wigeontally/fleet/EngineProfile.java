package org.wigeontally.fleet;

import java.util.List;

/**
 * What a service says of its engines.
 *
 * @param slots requests in the batch at once
 * @param memoryTokens tokens that the memory holds
 * @param stepMs time of a token step
 * @param perSequenceMs more time for each request in the batch
 * @param contextMsPerK more time for each 1,000 tokens of context
 * @param readTokensPerMs reading speed of prompts
 * @param pairMsPerM more time for a million pairs of a token and an earlier one
 * @param stride token steps in a pass
 * @param usualPrompt mean tokens of a prompt
 * @param usualAnswer mean tokens of an answer
 * @param models names of the models
 * @param layers layers of the model
 * @param chunks pieces of the weights
 * @param chunkBytes bytes of a piece
 */
public record EngineProfile(int batchSlots, long kvCacheTokens, double decodeStepMs, double stepMsPerSequence,
		double stepMsPerThousandContextTokens, double prefillTokensPerMs, double attentionMsPerMillionPairs,
		int stepsPerPass, int meanPromptTokens, int meanAnswerTokens, List<String> modelNames, int layerCount,
		int chunkCount, int chunkBytes) {

	/**
	 * Returns the time to read a prompt at a pace of 1.
	 * @param tokens tokens of the prompt
	 * @return milliseconds
	 */
	public double prefillMs(int tokens) {
		double millionPairs = (double) tokens * tokens / 2 / 1_000_000;
		return tokens / this.prefillTokensPerMs + millionPairs * this.attentionMsPerMillionPairs;
	}

	/**
	 * Returns the time of one pass at a pace of 1, without reading.
	 * @param active requests in the batch
	 * @return milliseconds
	 */
	public double passMs(int batchSize) {
		double thousandContextTokens = batchSize * (this.meanPromptTokens + this.meanAnswerTokens / 2.0) / 1000;
		return this.stepsPerPass * (this.decodeStepMs + this.stepMsPerSequence * batchSize
				+ this.stepMsPerThousandContextTokens * thousandContextTokens);
	}

	/**
	 * Returns the mean time between two requests that end when the batch is full.
	 * @return milliseconds
	 */
	public double completionIntervalMs() {
		double decodeMs = passMs(this.batchSlots) / this.stepsPerPass * this.meanAnswerTokens / this.batchSlots;
		return decodeMs + prefillMs(this.meanPromptTokens);
	}

}
