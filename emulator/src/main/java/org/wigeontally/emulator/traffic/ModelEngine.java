package org.wigeontally.emulator.traffic;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.IntConsumer;

/**
 * A model of an engine that batches continuously. It works in steps; in each step every
 * request that has its prompt read gives one token, and a chunk of the waiting prompts is
 * read. A step takes a base time, a time for each request in the batch and one for each
 * prompt token read. The prefix cache holds a bounded number of prefixes. A cold engine
 * takes longer for everything. Used by one thread.
 */
public final class ModelEngine {

	private static final double STEP_BASE_MS = 20;

	private static final double STEP_REQUEST_MS = 0.5;

	private static final double PROMPT_TOKEN_MS = 0.05;

	private static final int PROMPT_CHUNK_TOKENS = 512;

	private static final double COLD_SLOWDOWN = 10;

	private final VirtualTime time;

	private final List<Run> runs = new ArrayList<>();

	private final Map<Long, Boolean> prefixes;

	private boolean stepping;

	private boolean cold;

	private ModelEngine(VirtualTime time, int prefixesMax) {
		this.time = time;
		this.prefixes = new LinkedHashMap<>(16, 0.75f, true) {

			private static final long serialVersionUID = 1L;

			@Override
			protected boolean removeEldestEntry(Map.Entry<Long, Boolean> eldest) {
				return size() > prefixesMax;
			}

		};
	}

	/**
	 * Creates a warm and idle engine.
	 * @param time the clock
	 * @param prefixesMax most prefixes in its cache
	 * @return the engine
	 */
	public static ModelEngine create(VirtualTime time, int prefixesMax) {
		return new ModelEngine(time, prefixesMax);
	}

	/**
	 * Starts a request.
	 * @param request the request
	 * @param token called with each token's index
	 * @param end called after the last token
	 */
	public void start(ModelRequest request, IntConsumer token, Runnable end) {
		boolean hit = this.prefixes.put(request.prefix(), true) != null;
		int toRead = hit ? request.promptTokens() - request.prefixTokens() : request.promptTokens();
		this.runs.add(new Run(request, toRead, token, end));
		if (!this.stepping) {
			this.stepping = true;
			step();
		}
	}

	/**
	 * Turns the engine cold or warm.
	 * @param isCold true for cold
	 */
	public void cold(boolean isCold) {
		this.cold = isCold;
		if (isCold) {
			this.prefixes.clear();
		}
	}

	/**
	 * Returns how many requests run.
	 * @return the size of the batch
	 */
	public int running() {
		return this.runs.size();
	}

	private void step() {
		int chunk = PROMPT_CHUNK_TOKENS;
		int decoding = 0;
		List<Run> batch = List.copyOf(this.runs);
		for (Run run : batch) {
			run.decodes = run.toRead == 0;
			if (run.decodes) {
				decoding++;
			}
			int read = Math.min(chunk, run.toRead);
			run.toRead -= read;
			chunk -= read;
		}
		double stepMs = STEP_BASE_MS + STEP_REQUEST_MS * decoding + PROMPT_TOKEN_MS * (PROMPT_CHUNK_TOKENS - chunk);
		this.time.after(this.cold ? stepMs * COLD_SLOWDOWN : stepMs, () -> finishStep(batch));
	}

	private void finishStep(List<Run> batch) {
		for (Run run : batch) {
			if (run.decodes) {
				run.token.accept(run.generated++);
			}
		}
		for (Run run : batch) {
			if (run.generated >= run.request.outputTokens()) {
				this.runs.remove(run);
				run.end.run();
			}
		}
		this.stepping = !this.runs.isEmpty();
		if (this.stepping) {
			step();
		}
	}

	private static final class Run {

		private final ModelRequest request;

		private final IntConsumer token;

		private final Runnable end;

		private int toRead;

		private int generated;

		private boolean decodes;

		private Run(ModelRequest request, int toRead, IntConsumer token, Runnable end) {
			this.request = request;
			this.toRead = toRead;
			this.token = token;
			this.end = end;
		}

	}

}
