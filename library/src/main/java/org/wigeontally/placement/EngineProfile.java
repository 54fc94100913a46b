package org.wigeontally.placement;

import java.util.List;

/**
 * The performance profile of a service's engines and the size of their model, from the
 * configuration.
 *
 * @param batchSlots maximum number of requests in the batch
 * @param kvCacheTokens tokens that fit into the KV cache
 * @param decodeStepMs base time of a decode step, which writes one token of each request
 * @param stepMsPerSequence additional step time for each request in the batch
 * @param stepMsPerThousandContextTokens additional step time for each 1,000 tokens of
 * context
 * @param prefillTokensPerMs prompt tokens that are read per millisecond
 * @param attentionMsPerMillionPairs additional prefill time for each million pairs of a
 * token and an earlier one
 * @param stepsPerPass decode steps in a pass
 * @param meanPromptTokens mean length of a prompt
 * @param meanAnswerTokens mean length of an answer
 * @param modelNames names of the models
 * @param layerCount layers of the model
 * @param chunkCount chunks of the weights
 * @param chunkBytes size of a chunk
 */
public record EngineProfile(int batchSlots, long kvCacheTokens, double decodeStepMs, double stepMsPerSequence,
		double stepMsPerThousandContextTokens, double prefillTokensPerMs, double attentionMsPerMillionPairs,
		int stepsPerPass, int meanPromptTokens, int meanAnswerTokens, List<String> modelNames, int layerCount,
		int chunkCount, int chunkBytes) {

	/**
	 * Returns the time to read a prompt at normal speed.
	 * @param tokens tokens of the prompt
	 * @return milliseconds
	 */
	public double prefillMs(int tokens) {
		double millionPairs = (double) tokens * tokens / 2 / 1_000_000;
		return tokens / this.prefillTokensPerMs + millionPairs * this.attentionMsPerMillionPairs;
	}

	/**
	 * Returns the time of one pass at normal speed, without reading prompts.
	 * @param batchSize requests in the batch
	 * @return milliseconds
	 */
	public double passMs(int batchSize) {
		double thousandContextTokens = batchSize * (this.meanPromptTokens + this.meanAnswerTokens / 2.0) / 1000;
		return this.stepsPerPass * (this.decodeStepMs + this.stepMsPerSequence * batchSize
				+ this.stepMsPerThousandContextTokens * thousandContextTokens);
	}

	/**
	 * Returns the time to the first event of a request that takes the last slot of a
	 * batch: half of the current pass, the prompt, and the pass that writes the event.
	 * @param promptTokens tokens of its prompt
	 * @return milliseconds
	 */
	public double admittedFirstEventMs(int promptTokens) {
		return 1.5 * passMs(this.batchSlots) + prefillMs(promptTokens);
	}

	/**
	 * Returns the mean time between two completed requests of a full batch.
	 * @return milliseconds
	 */
	public double completionIntervalMs() {
		double decodeMs = passMs(this.batchSlots) / this.stepsPerPass * this.meanAnswerTokens / this.batchSlots;
		return decodeMs + prefillMs(this.meanPromptTokens);
	}

}
