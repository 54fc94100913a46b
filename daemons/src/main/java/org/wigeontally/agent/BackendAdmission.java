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
final class BackendAdmission {

	private static final long TICK_MS = 50;

	private static final long MAX_ENGINE_REPORT_LAG_MS = 1_000;

	private static final long PLAIN_INHERITED_TIMEOUT_MS = 2_000;

	private final Vertx vertx;

	private final Clock clock;

	private final AdmissionController controller;

	private final Map<String, QueuedRequest> queuedRequests = new HashMap<>();

	private final long timer;

	private BackendAdmission(Vertx vertx, AdmissionLimits limits, Clock clock) {
		this.vertx = vertx;
		this.clock = clock;
		this.controller = AdmissionController.create(limits, clock, new Random());
		this.timer = vertx.setPeriodic(TICK_MS, (id) -> tick());
	}

	static BackendAdmission create(Vertx vertx, BackendSettings settings, Clock clock) {
		return new BackendAdmission(vertx, limits(settings), clock);
	}

	private static AdmissionLimits limits(BackendSettings settings) {
		int capacity = Math.max(1, settings.getCapacity());
		int cold = (settings.getColdCapacity() > 0) ? settings.getColdCapacity() : capacity;
		int queue = Math.max(2, capacity / 2);
		if (settings.getKind() == BackendKind.MODEL_ENGINE) {
			return AdmissionLimits.reporting(capacity, cold, queue);
		}
		return AdmissionLimits.nonReporting(capacity, cold, queue, PLAIN_INHERITED_TIMEOUT_MS);
	}

	void offer(AdmissionRequest request, Consumer<AdmissionDecision> onDecision) {
		AdmissionDecision decision;
		synchronized (this) {
			decision = this.controller.offer(request);
			if (decision.verdict() == AdmissionDecision.Verdict.QUEUED) {
				this.queuedRequests.put(request.id(), new QueuedRequest(this.vertx.getOrCreateContext(), onDecision));
				return;
			}
		}
		onDecision.accept(decision);
	}

	void responseStarted(String id) {
		applyAndNotify(() -> this.controller.responseStarted(id));
	}

	void requestEnded(String id, AdmissionController.CompletionStatus status) {
		applyAndNotify(() -> this.controller.requestEnded(id, status));
	}

	synchronized void cancelQueued(String id) {
		if (this.controller.cancelQueued(id)) {
			this.queuedRequests.remove(id);
		}
	}

	void applyReport(int running, EngineReport.WarmupState warmupState, long requestedMs) {
		applyAndNotify(() -> this.controller.applyReport(new EngineReport(running, warmupState, requestedMs - MAX_ENGINE_REPORT_LAG_MS)));
	}

	void backendDown() {
		applyAndNotify(this.controller::backendDown);
	}

	synchronized void backendUp() {
		this.controller.backendUp();
	}

	synchronized Load load() {
		return new Load(this.controller.runningCount(), this.controller.queuedCount(), this.controller.limit(), this.controller.isCold());
	}

	synchronized List<String> runningIds() {
		return List.copyOf(this.controller.runningIds());
	}

	long nowMs() {
		return this.clock.monotonicMs();
	}

	void close() {
		this.vertx.cancelTimer(this.timer);
	}

	private void tick() {
		applyAndNotify(this.controller::processQueue);
	}

	private void applyAndNotify(ControllerUpdate update) {
		List<Runnable> calls = new ArrayList<>();
		synchronized (this) {
			for (AdmissionDecision decision : update.apply()) {
				QueuedRequest queued = this.queuedRequests.remove(decision.request().id());
				calls.add(() -> queued.context.runOnContext((v) -> queued.onDecision.accept(decision)));
			}
		}
		calls.forEach(Runnable::run);
	}

	/**
	 * A step of the gate that decides on waiting requests.
	 */
	private interface ControllerUpdate {

		List<AdmissionDecision> apply();

	}

	/**
	 * A waiting request and the context that it is told on.
	 */
	private record QueuedRequest(Context context, Consumer<AdmissionDecision> onDecision) {

	}

	/**
	 * Load of the backend server.
	 *
	 * @param running requests that run
	 * @param queued requests that wait
	 * @param limit most requests at once
	 * @param isCold true if it is taken to be in cold start
	 */
	record Load(int running, int queued, int limit, boolean isCold) {

		String headerValue() {
			return this.running + " " + this.queued + " " + this.limit;
		}

	}

}
