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
public record EngineModel(int slots, long memoryTokens, double stepMs, double perSequenceMs, double contextMsPerK,
		double readTokensPerMs, double pairMsPerM, int stride, int usualPrompt, int usualAnswer, List<String> models,
		int layers, int chunks, int chunkBytes) {

	/**
	 * Returns the time to read a prompt at a pace of 1.
	 * @param tokens tokens of the prompt
	 * @return milliseconds
	 */
	public double readMs(int tokens) {
		double pairsM = (double) tokens * tokens / 2 / 1_000_000;
		return tokens / this.readTokensPerMs + pairsM * this.pairMsPerM;
	}

	/**
	 * Returns the time of one pass at a pace of 1, without reading.
	 * @param active requests in the batch
	 * @return milliseconds
	 */
	public double passMs(int active) {
		double contextK = active * (this.usualPrompt + this.usualAnswer / 2.0) / 1000;
		return this.stride * (this.stepMs + this.perSequenceMs * active + this.contextMsPerK * contextK);
	}

	/**
	 * Returns the mean time between two requests that end when the batch is full.
	 * @return milliseconds
	 */
	public double slotIntervalMs() {
		double writeMs = passMs(this.slots) / this.stride * this.usualAnswer / this.slots;
		return writeMs + readMs(this.usualPrompt);
	}

}
