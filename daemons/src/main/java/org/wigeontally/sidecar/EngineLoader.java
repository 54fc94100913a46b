package org.wigeontally.sidecar;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.function.Function;
import java.util.stream.IntStream;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;

import org.wigeontally.eventlog.EventLog;
import org.wigeontally.eventlog.LogEvent;
import org.wigeontally.platform.wire.EngineClient;
import org.wigeontally.platform.wire.EngineState;
import org.wigeontally.schema.generated.Address;
import org.wigeontally.weights.VerifiedWeights;

/**
 * Stages a whole version at the engine and orders it to load it. The staged pieces are
 * all read back and compared right before the order, since staged bytes can turn bad. An
 * order without an answer may have been taken: what became of it is seen from the
 * engine's state only. Runs on the event loop.
 */
final class EngineLoader {

	/** Calls to the engine at once; they stay on this host. */
	private static final int MAX_PARALLEL_CALLS = 6;

	/** Time for entries to stop sending before the order; a report takes less. */
	private static final long LOAD_NOTICE_MS = 120;

	private final Vertx vertx;

	private final EventLog log;

	private final EngineClient client;

	private final Address engine;

	private boolean running;

	EngineLoader(Vertx vertx, EventLog log, EngineClient client, Address engine) {
		this.vertx = vertx;
		this.log = log;
		this.client = client;
		this.engine = engine;
	}

	boolean isRunning() {
		return this.running;
	}

	/**
	 * Verifies what is staged, puts right what turned bad, and orders the engine to load.
	 * @param model name of the model
	 * @param version the version
	 * @param weights its bytes
	 * @param announceLoad tells the entries that the engine is about to load
	 * @return the order's outcome: true if it was taken or is in effect
	 */
	Future<Boolean> load(String model, long version, VerifiedWeights weights, Runnable announceLoad) {
		this.running = true;
		List<byte[]> chunks = weights.chunks();
		List<Integer> allIndexes = IntStream.range(0, chunks.size()).boxed().toList();
		announceLoad.run();
		return this.vertx.timer(LOAD_NOTICE_MS)
			.compose((v) -> findInvalidChunks(model, chunks, allIndexes))
			.compose((bad) -> stageChunks(model, chunks, bad).compose((v) -> findInvalidChunks(model, chunks, bad)))
			.compose((bad) -> bad.isEmpty() ? this.client.fetchState(this.engine)
					: Future.<EngineState>failedFuture(bad.size() + " staged pieces do not verify"))
			.compose((state) -> this.client.sendLoadOrder(this.engine, model, version, state.startedOrders()))
			.map((status) -> {
				boolean accepted = status == 202 || status == 200;
				this.log.write(LogEvent.ORDER, "phase", "load", "version", version, "status", status, "outcome",
						accepted ? "taken" : "refused");
				return accepted;
			})
			.onFailure((failure) -> this.log.write(LogEvent.ORDER, "phase", "load", "version", version, "outcome",
					"unknown", "reason", failure.getMessage()))
			.onComplete((done) -> this.running = false);
	}

	// Returns the pieces that are not staged or do not fit their digests.
	private Future<List<Integer>> findInvalidChunks(String model, List<byte[]> chunks, List<Integer> indexes) {
		List<Integer> invalid = new ArrayList<>();
		return forEachIndex(indexes,
				(index) -> this.client.fetchStagedChunk(this.engine, model, index)
					.map((bytes) -> Arrays.equals(chunks.get(index), bytes.getBytes()))
					.recover((failure) -> Future.succeededFuture(false))
					.onSuccess((isValid) -> {
						if (!isValid) {
							invalid.add(index);
						}
					})
					.mapEmpty())
			.map(invalid);
	}

	private Future<Void> stageChunks(String model, List<byte[]> chunks, List<Integer> indexes) {
		return forEachIndex(indexes,
				(index) -> this.client.stageChunk(this.engine, model, index, Buffer.buffer(chunks.get(index))));
	}

	private Future<Void> forEachIndex(List<Integer> indexes, Function<Integer, Future<Void>> action) {
		List<Future<Void>> workers = new ArrayList<>();
		for (int worker = 0; worker < MAX_PARALLEL_CALLS; worker++) {
			workers.add(runWorker(indexes, worker, action));
		}
		return Future.all(workers).mapEmpty();
	}

	private Future<Void> runWorker(List<Integer> indexes, int position, Function<Integer, Future<Void>> action) {
		if (position >= indexes.size()) {
			return Future.succeededFuture();
		}
		return action.apply(indexes.get(position))
			.compose((v) -> runWorker(indexes, position + MAX_PARALLEL_CALLS, action));
	}

}
