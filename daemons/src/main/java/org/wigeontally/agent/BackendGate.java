package org.wigeontally.agent;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.function.Consumer;

import io.vertx.core.Context;
import io.vertx.core.Vertx;

import org.wigeontally.admission.Admission;
import org.wigeontally.admission.AdmissionGate;
import org.wigeontally.admission.AdmissionRequest;
import org.wigeontally.admission.EngineReport;
import org.wigeontally.admission.GateLimits;
import org.wigeontally.misc.Clock;
import org.wigeontally.schema.generated.BackendKind;
import org.wigeontally.schema.generated.BackendSettings;

/**
 * Carries out the decisions of an {@link AdmissionGate}: remembers who waits and tells
 * each on its own context. The gate is guarded by a lock, as requests may arrive on
 * several event loops; callers are told outside of it.
 */
final class BackendGate {

	private static final long TICK_MS = 50;

	private static final long ENGINE_LAG_MAX_MS = 1_000;

	private static final long PLAIN_SETTLE_MS = 2_000;

	private final Vertx vertx;

	private final Clock clock;

	private final AdmissionGate gate;

	private final Map<String, Waiter> waiters = new HashMap<>();

	private final long timer;

	private BackendGate(Vertx vertx, GateLimits limits, Clock clock) {
		this.vertx = vertx;
		this.clock = clock;
		this.gate = AdmissionGate.create(limits, clock, new Random());
		this.timer = vertx.setPeriodic(TICK_MS, (id) -> tick());
	}

	static BackendGate open(Vertx vertx, BackendSettings settings, Clock clock) {
		return new BackendGate(vertx, limits(settings), clock);
	}

	private static GateLimits limits(BackendSettings settings) {
		int capacity = Math.max(1, settings.getCapacity());
		int cold = (settings.getColdCapacity() > 0) ? settings.getColdCapacity() : capacity;
		int queue = Math.max(2, capacity / 2);
		if (settings.getKind() == BackendKind.MODEL_ENGINE) {
			return GateLimits.reporting(capacity, cold, queue);
		}
		return GateLimits.silent(capacity, cold, queue, PLAIN_SETTLE_MS);
	}

	void offer(AdmissionRequest request, Consumer<Admission> decided) {
		Admission admission;
		synchronized (this) {
			admission = this.gate.offer(request);
			if (admission.verdict() == Admission.Verdict.QUEUED) {
				this.waiters.put(request.id(), new Waiter(this.vertx.getOrCreateContext(), decided));
				return;
			}
		}
		decided.accept(admission);
	}

	void answered(String id) {
		tell(() -> this.gate.answered(id));
	}

	void ended(String id, AdmissionGate.End end) {
		tell(() -> this.gate.ended(id, end));
	}

	synchronized void withdraw(String id) {
		if (this.gate.withdraw(id)) {
			this.waiters.remove(id);
		}
	}

	void reported(int running, EngineReport.Warmth warmth, long askedMs) {
		tell(() -> this.gate.report(new EngineReport(running, warmth, askedMs - ENGINE_LAG_MAX_MS)));
	}

	void down() {
		tell(this.gate::down);
	}

	synchronized void up() {
		this.gate.up();
	}

	synchronized Load load() {
		return new Load(this.gate.running(), this.gate.queued(), this.gate.limit(), this.gate.cold());
	}

	synchronized List<String> runningIds() {
		return List.copyOf(this.gate.runningIds());
	}

	long nowMs() {
		return this.clock.monotonicMs();
	}

	void close() {
		this.vertx.cancelTimer(this.timer);
	}

	private void tick() {
		tell(this.gate::tick);
	}

	private void tell(Decisions decisions) {
		List<Runnable> calls = new ArrayList<>();
		synchronized (this) {
			for (Admission admission : decisions.take()) {
				Waiter waiter = this.waiters.remove(admission.request().id());
				calls.add(() -> waiter.context.runOnContext((v) -> waiter.decided.accept(admission)));
			}
		}
		calls.forEach(Runnable::run);
	}

	/**
	 * A step of the gate that decides on waiting requests.
	 */
	private interface Decisions {

		List<Admission> take();

	}

	/**
	 * A waiting request and the context that it is told on.
	 */
	private record Waiter(Context context, Consumer<Admission> decided) {

	}

	/**
	 * Load of the backend server.
	 *
	 * @param running requests that run
	 * @param queued requests that wait
	 * @param limit most requests at once
	 * @param cold true if it is taken to be in cold start
	 */
	record Load(int running, int queued, int limit, boolean cold) {

		String header() {
			return this.running + " " + this.queued + " " + this.limit;
		}

	}

}
