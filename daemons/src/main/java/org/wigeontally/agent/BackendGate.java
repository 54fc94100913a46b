package org.wigeontally.agent;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.function.Consumer;

import io.vertx.core.Context;
import io.vertx.core.Vertx;

import org.wigeontally.admission.AdmissionController;
import org.wigeontally.admission.AdmissionDecision;
import org.wigeontally.admission.AdmissionLimits;
import org.wigeontally.admission.AdmissionRequest;
import org.wigeontally.admission.EngineReport;
import org.wigeontally.misc.Clock;
import org.wigeontally.schema.generated.BackendKind;
import org.wigeontally.schema.generated.BackendSettings;

/**
 * Carries out the decisions of an {@link AdmissionController}: remembers who waits and
 * tells each on its own context. The gate is guarded by a lock, as requests may arrive on
 * several event loops; callers are told outside of it.
 */
final class BackendGate {

	private static final long TICK_MS = 50;

	private static final long ENGINE_LAG_MAX_MS = 1_000;

	private static final long PLAIN_SETTLE_MS = 2_000;

	private final Vertx vertx;

	private final Clock clock;

	private final AdmissionController gate;

	private final Map<String, Waiter> waiters = new HashMap<>();

	private final long timer;

	private BackendGate(Vertx vertx, AdmissionLimits limits, Clock clock) {
		this.vertx = vertx;
		this.clock = clock;
		this.gate = AdmissionController.create(limits, clock, new Random());
		this.timer = vertx.setPeriodic(TICK_MS, (id) -> tick());
	}

	static BackendGate open(Vertx vertx, BackendSettings settings, Clock clock) {
		return new BackendGate(vertx, limits(settings), clock);
	}

	private static AdmissionLimits limits(BackendSettings settings) {
		int capacity = Math.max(1, settings.getCapacity());
		int cold = (settings.getColdCapacity() > 0) ? settings.getColdCapacity() : capacity;
		int queue = Math.max(2, capacity / 2);
		if (settings.getKind() == BackendKind.MODEL_ENGINE) {
			return AdmissionLimits.reporting(capacity, cold, queue);
		}
		return AdmissionLimits.nonReporting(capacity, cold, queue, PLAIN_SETTLE_MS);
	}

	void offer(AdmissionRequest request, Consumer<AdmissionDecision> decided) {
		AdmissionDecision admission;
		synchronized (this) {
			admission = this.gate.offer(request);
			if (admission.verdict() == AdmissionDecision.Verdict.QUEUED) {
				this.waiters.put(request.id(), new Waiter(this.vertx.getOrCreateContext(), decided));
				return;
			}
		}
		decided.accept(admission);
	}

	void answered(String id) {
		tell(() -> this.gate.responseStarted(id));
	}

	void ended(String id, AdmissionController.CompletionStatus end) {
		tell(() -> this.gate.requestEnded(id, end));
	}

	synchronized void withdraw(String id) {
		if (this.gate.cancelQueued(id)) {
			this.waiters.remove(id);
		}
	}

	void reported(int running, EngineReport.WarmupState warmth, long askedMs) {
		tell(() -> this.gate.applyReport(new EngineReport(running, warmth, askedMs - ENGINE_LAG_MAX_MS)));
	}

	void down() {
		tell(this.gate::backendDown);
	}

	synchronized void up() {
		this.gate.backendUp();
	}

	synchronized Load load() {
		return new Load(this.gate.runningCount(), this.gate.queuedCount(), this.gate.limit(), this.gate.isCold());
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
		tell(this.gate::processQueue);
	}

	private void tell(Decisions decisions) {
		List<Runnable> calls = new ArrayList<>();
		synchronized (this) {
			for (AdmissionDecision admission : decisions.take()) {
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

		List<AdmissionDecision> take();

	}

	/**
	 * A waiting request and the context that it is told on.
	 */
	private record Waiter(Context context, Consumer<AdmissionDecision> decided) {

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
