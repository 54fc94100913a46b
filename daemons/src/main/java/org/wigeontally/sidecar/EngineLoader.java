package org.wigeontally.sidecar;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Queue;
import java.util.concurrent.TimeoutException;
import java.util.function.Function;
import java.util.function.Supplier;
import java.util.stream.IntStream;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;

import org.wigeontally.eventlog.EventLog;
import org.wigeontally.eventlog.LogEvent;
import org.wigeontally.misc.Clock;
import org.wigeontally.misc.Moment;
import org.wigeontally.platform.wire.EngineClient;
import org.wigeontally.platform.wire.EngineState;
import org.wigeontally.platform.wire.PlatformException;
import org.wigeontally.schema.generated.Address;
import org.wigeontally.weights.LoadLedger;
import org.wigeontally.weights.LoadOrder;
import org.wigeontally.weights.VerifiedWeights;

/**
 * Stages a completely verified version at the engine, orders the engine to load it and
 * proves that it has loaded the right chunks, as {@link LoadLedger} requires. All staged
 * chunks are read back and compared shortly before the load order, because staged bytes
 * can become corrupt. Runs on the event loop.
 */
final class EngineLoader {

	/** Concurrent calls to the engine, which runs on the same host. */
	private static final int MAX_PARALLEL_CALLS = 6;

	/**
	 * Delay between the notice to the entries and the load order, so that entries stop
	 * sending requests first. A status report arrives in less time.
	 */
	private static final long LOAD_NOTICE_MS = 120;

	/** Times that chunks are staged before an attempt to load fails. */
	private static final int MAX_STAGINGS = 3;

	/**
	 * Checks until the order is sent even if the check took too long. A slow host would
	 * otherwise never load; the check after the acceptance decides then.
	 */
	private static final int MAX_CHECKS = 2;

	/**
	 * Time from the start of this process in which staging calls of an earlier agent of
	 * the host may still take effect.
	 */
	private static final long EARLIER_CALLS_MS = 10_000;

	/** Times that a chunk is read before the load counts as wrong. */
	private static final int MAX_PROOF_READS = 3;

	private static final int STATUS_ACCEPTED = 202;

	private static final int STATUS_NOT_FOUND = 404;

	private final Vertx vertx;

	private final Clock clock;

	private final EventLog log;

	private final EngineClient client;

	private final Address engine;

	private final long startedMs;

	private final LoadLedger ledger = LoadLedger.create();

	private boolean running;

	EngineLoader(Vertx vertx, Clock clock, EventLog log, EngineClient client, Address engine) {
		this.vertx = vertx;
		this.clock = clock;
		this.startedMs = clock.monotonicMs();
		this.log = log;
		this.client = client;
		this.engine = engine;
	}

	boolean isRunning() {
		return this.running;
	}

	/**
	 * Returns the account of the engine's load orders.
	 * @return the ledger
	 */
	LoadLedger ledger() {
		return this.ledger;
	}

	/**
	 * Records a state of the engine.
	 * @param state the state
	 */
	void recordState(EngineState state) {
		this.ledger.recordState(state.processStartMs(), state.startedOrders());
	}

	private Future<EngineState> fetchState() {
		return this.client.fetchState(this.engine).onSuccess(this::recordState);
	}

	/**
	 * Verifies the staged chunks, replaces missing and corrupt ones, and orders the
	 * engine to load the version.
	 * @param model name of the model
	 * @param version the version
	 * @param weights the verified chunks of the version
	 * @param announceLoad notifies the entries that the engine is about to load
	 * @return completes when the attempt has ended; the ledger shows what it came to
	 */
	Future<Void> load(String model, long version, VerifiedWeights weights, Runnable announceLoad) {
		return run("load", version, () -> {
			announceLoad.run();
			return this.vertx.timer(LOAD_NOTICE_MS)
				.compose((v) -> fetchState())
				.compose((state) -> orderAfterCheck(model, version, weights, state.processStartMs(), 1));
		});
	}

	/**
	 * Checks whether the staged chunks are those of the version that the engine has
	 * loaded or is loading.
	 * @param model name of the model
	 * @param version the version
	 * @param weights the verified chunks of the version
	 * @return completes when the check has ended; the ledger shows what it came to
	 */
	Future<Void> prove(String model, long version, VerifiedWeights weights) {
		return run("proof", version, () -> checkLoad(model, version, weights));
	}

	// Within compose whatever is thrown fails the future, so that the attempt ends.
	private Future<Void> run(String phase, long version, Supplier<Future<Void>> steps) {
		this.running = true;
		return Future.succeededFuture()
			.compose((start) -> steps.get())
			.onFailure((failure) -> this.log.write(LogEvent.ORDER, "phase", phase, "version", version, "outcome",
					"unknown", "reason", failure.getMessage()))
			.onComplete((done) -> this.running = false);
	}

	private Future<Void> orderAfterCheck(String model, long version, VerifiedWeights weights, long processStartMs,
			int checks) {
		return stageUntilValid(model, weights.chunks(), 0).compose((checkedAt) -> fetchState().compose((state) -> {
			// An earlier order without a response may have been accepted meanwhile.
			if (state.busy() || state.loadedVersions().getOrDefault(model, 0L) >= version) {
				this.log.write(LogEvent.ORDER, "phase", "load", "version", version, "outcome", "begun before");
				return Future.succeededFuture();
			}
			if (state.processStartMs() != processStartMs) {
				return Future.failedFuture("the engine restarted while its staged chunks were checked");
			}
			LoadOrder order = new LoadOrder(version, weights, state.startedOrders(), checkedAt);
			if (checks < MAX_CHECKS && !order.isCheckRecent(Moment.now(this.clock))) {
				return orderAfterCheck(model, version, weights, processStartMs, checks + 1);
			}
			return send(model, order);
		}));
	}

	private Future<Void> send(String model, LoadOrder order) {
		long checkAgeMs = order.checkedAt().maxAgeMs(Moment.now(this.clock));
		this.ledger.recordOrder(order);
		return this.client.sendLoadOrder(this.engine, model, order.version(), order.startedOrders())
			.compose((status) -> {
				boolean accepted = status == STATUS_ACCEPTED;
				Moment now = Moment.now(this.clock);
				this.log.write(LogEvent.ORDER, "phase", "load", "version", order.version(), "status", status, "outcome",
						accepted ? "taken" : "not begun", "orders", order.startedOrders(), "check-age-ms", checkAgeMs,
						"answered-after-ms", order.checkedAt().maxAgeMs(now) - checkAgeMs);
				if (!accepted) {
					this.ledger.recordRefusal();
					return Future.succeededFuture();
				}
				if (!this.ledger.recordAcceptance(order)) {
					return Future.failedFuture("the engine restarted while it was ordered to load");
				}
				if (order.isCheckRecent(now) && !mayStagedChunksChange()) {
					this.ledger.recordProof(this.ledger.lastLoad(), true);
					return Future.succeededFuture();
				}
				return checkLoad(model, order.version(), order.weights());
			});
	}

	/**
	 * Records that an earlier agent has found a load of the engine wrong.
	 * @param load the load
	 */
	void recordDisproof(LoadLedger.Load load) {
		if (this.ledger.recordDisproof(load)) {
			this.log.write(LogEvent.ORDER, "phase", "proof", "orders", load.startedOrders(), "outcome",
					"wrong weights, as an earlier agent has found");
		}
	}

	// A call may have reached the engine's present process before its start was noticed.
	private boolean mayStagedChunksChange() {
		return this.client.mayStagingArriveLate() || this.clock.monotonicMs() - this.startedMs < EARLIER_CALLS_MS;
	}

	private Future<Void> checkLoad(String model, long version, VerifiedWeights weights) {
		LoadLedger.Load load = this.ledger.lastLoad();
		List<byte[]> chunks = weights.chunks();
		return findWrongChunks(model, chunks, indexes(chunks), 1).compose((wrong) -> fetchState().map((state) -> {
			boolean counts = this.ledger.recordProof(load, wrong.isEmpty());
			this.log.write(LogEvent.ORDER, "phase", "proof", "version", version, "differ", wrong.size(), "outcome",
					counts ? (wrong.isEmpty() ? "proven" : "wrong weights") : "overtaken");
			return null;
		}));
	}

	// A response can be spoilt on its way, but a wrong chunk stays wrong.
	private Future<List<Integer>> findWrongChunks(String model, List<byte[]> chunks, List<Integer> indexes, int reads) {
		return findInvalidChunks(model, chunks, indexes, EngineLoader::invalidIfMissing)
			.compose((wrong) -> (wrong.isEmpty() || reads == MAX_PROOF_READS) ? Future.succeededFuture(wrong)
					: findWrongChunks(model, chunks, wrong, reads + 1));
	}

	private static List<Integer> indexes(List<byte[]> chunks) {
		return IntStream.range(0, chunks.size()).boxed().toList();
	}

	// Staging takes time in which chunks read before can become corrupt. Therefore all
	// chunks are read again after any of them was staged.
	private Future<Moment> stageUntilValid(String model, List<byte[]> chunks, int stagings) {
		Moment checkedAt = Moment.now(this.clock);
		return findInvalidChunks(model, chunks, indexes(chunks), EngineLoader::invalidIfAnswered).compose((invalid) -> {
			this.log.write(LogEvent.ORDER, "phase", "check", "differ", invalid.size(), "stagings", stagings, "took-ms",
					checkedAt.maxAgeMs(Moment.now(this.clock)));
			if (invalid.isEmpty()) {
				return Future.succeededFuture(checkedAt);
			}
			if (stagings == MAX_STAGINGS) {
				return Future.failedFuture(invalid.size() + " staged chunks differ from the verified weights");
			}
			return stageChunks(model, chunks, invalid).compose((v) -> stageUntilValid(model, chunks, stagings + 1));
		});
	}

	// Returns the indexes of the chunks that are not staged or differ from the verified
	// bytes.
	private Future<List<Integer>> findInvalidChunks(String model, List<byte[]> chunks, List<Integer> indexes,
			Function<Throwable, Future<Boolean>> isValidAfterFailure) {
		List<Integer> invalid = new ArrayList<>();
		return forEachIndex(indexes,
				(index) -> this.client.fetchStagedChunk(this.engine, model, index)
					.map((bytes) -> Arrays.equals(chunks.get(index), bytes.getBytes()))
					.recover(isValidAfterFailure)
					.onSuccess((isValid) -> {
						if (!isValid) {
							invalid.add(index);
						}
					})
					.mapEmpty())
			.map(invalid);
	}

	// An engine that is silent has not said that a chunk is missing.
	private static Future<Boolean> invalidIfAnswered(Throwable failure) {
		return (failure instanceof TimeoutException) ? Future.failedFuture(failure) : Future.succeededFuture(false);
	}

	// To stage a chunk once more does no harm, but to take a sound load for a wrong one
	// does.
	private static Future<Boolean> invalidIfMissing(Throwable failure) {
		boolean isMissing = failure instanceof PlatformException platform && platform.status() == STATUS_NOT_FOUND;
		return isMissing ? Future.succeededFuture(false) : Future.failedFuture(failure);
	}

	private Future<Void> stageChunks(String model, List<byte[]> chunks, List<Integer> indexes) {
		this.ledger.recordStaging();
		return forEachIndex(indexes,
				(index) -> this.client.stageChunk(this.engine, model, index, Buffer.buffer(chunks.get(index))));
	}

	// Ends with the last call. One that outlasts a failed attempt would stage its chunk
	// among those of the next attempt.
	private Future<Void> forEachIndex(List<Integer> indexes, Function<Integer, Future<Void>> action) {
		Queue<Integer> remaining = new ArrayDeque<>(indexes);
		List<Future<Void>> workers = new ArrayList<>();
		for (int worker = 0; worker < MAX_PARALLEL_CALLS; worker++) {
			workers.add(runWorker(remaining, action));
		}
		return Future.join(workers).mapEmpty();
	}

	private Future<Void> runWorker(Queue<Integer> remaining, Function<Integer, Future<Void>> action) {
		Integer index = remaining.poll();
		if (index == null) {
			return Future.succeededFuture();
		}
		return action.apply(index)
			.onFailure((failure) -> remaining.clear())
			.compose((v) -> runWorker(remaining, action));
	}

}
