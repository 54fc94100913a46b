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
	private static final int PARALLEL = 6;

	/** Time for entries to stop sending before the order; a report takes less. */
	private static final long NOTICE_MS = 120;

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
	 * @param announce tells the entries that the engine is about to load
	 * @return the order's outcome: true if it was taken or is in effect
	 */
	Future<Boolean> load(String model, long version, VerifiedWeights weights, Runnable announce) {
		this.running = true;
		List<byte[]> pieces = weights.chunks();
		List<Integer> all = IntStream.range(0, pieces.size()).boxed().toList();
		announce.run();
		return this.vertx.timer(NOTICE_MS)
			.compose((v) -> verify(model, pieces, all))
			.compose((bad) -> put(model, pieces, bad).compose((v) -> verify(model, pieces, bad)))
			.compose((bad) -> bad.isEmpty() ? this.client.state(this.engine)
					: Future.<EngineState>failedFuture(bad.size() + " staged pieces do not verify"))
			.compose((state) -> this.client.load(this.engine, model, version, state.orders()))
			.map((status) -> {
				boolean taken = status == 202 || status == 200;
				this.log.write(LogEvent.ORDER, "phase", "load", "version", version, "status", status, "outcome",
						taken ? "taken" : "refused");
				return taken;
			})
			.onFailure((failure) -> this.log.write(LogEvent.ORDER, "phase", "load", "version", version, "outcome",
					"unknown", "reason", failure.getMessage()))
			.onComplete((done) -> this.running = false);
	}

	// Returns the pieces that are not staged or do not fit their digests.
	private Future<List<Integer>> verify(String model, List<byte[]> pieces, List<Integer> indexes) {
		List<Integer> bad = new ArrayList<>();
		return each(indexes,
				(index) -> this.client.staged(this.engine, model, index)
					.map((bytes) -> Arrays.equals(pieces.get(index), bytes.getBytes()))
					.recover((failure) -> Future.succeededFuture(false))
					.onSuccess((fits) -> {
						if (!fits) {
							bad.add(index);
						}
					})
					.mapEmpty())
			.map(bad);
	}

	private Future<Void> put(String model, List<byte[]> pieces, List<Integer> indexes) {
		return each(indexes, (index) -> this.client.stage(this.engine, model, index, Buffer.buffer(pieces.get(index))));
	}

	private Future<Void> each(List<Integer> indexes, Function<Integer, Future<Void>> work) {
		List<Future<Void>> lanes = new ArrayList<>();
		for (int lane = 0; lane < PARALLEL; lane++) {
			lanes.add(lane(indexes, lane, work));
		}
		return Future.all(lanes).mapEmpty();
	}

	private Future<Void> lane(List<Integer> indexes, int at, Function<Integer, Future<Void>> work) {
		if (at >= indexes.size()) {
			return Future.succeededFuture();
		}
		return work.apply(indexes.get(at)).compose((v) -> lane(indexes, at + PARALLEL, work));
	}

}
