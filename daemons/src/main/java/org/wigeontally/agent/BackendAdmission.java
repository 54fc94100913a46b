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
 * Admission control of one backend server. Keeps the callbacks of queued requests and
 * reports each decision of the {@link AdmissionController} on the context of its request.
 * A lock guards the controller, because requests arrive on several event loops; callbacks
 * run outside the lock.
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
		int coldCapacity = (settings.getColdCapacity() > 0) ? settings.getColdCapacity() : capacity;
		int queueCapacity = Math.max(2, capacity / 2);
		if (settings.getKind() == BackendKind.MODEL_ENGINE) {
			return AdmissionLimits.reporting(capacity, coldCapacity, queueCapacity);
		}
		return AdmissionLimits.nonReporting(capacity, coldCapacity, queueCapacity, PLAIN_INHERITED_TIMEOUT_MS);
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
		applyAndNotify(() -> this.controller
			.applyReport(new EngineReport(running, warmupState, requestedMs - MAX_ENGINE_REPORT_LAG_MS)));
	}

	void backendDown() {
		applyAndNotify(this.controller::backendDown);
	}

	synchronized void backendUp() {
		this.controller.backendUp();
	}

	synchronized Load load() {
		return new Load(this.controller.runningCount(), this.controller.queuedCount(), this.controller.limit(),
				this.controller.isCold());
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
	 * An update of the controller that may decide on queued requests.
	 */
	private interface ControllerUpdate {

		List<AdmissionDecision> apply();

	}

	/**
	 * Callback of a queued request and the context on which it runs.
	 */
	private record QueuedRequest(Context context, Consumer<AdmissionDecision> onDecision) {

	}

	/**
	 * Load of the backend server.
	 *
	 * @param running number of running requests
	 * @param queued number of queued requests
	 * @param limit current concurrency limit
	 * @param isCold true if the controller assumes a cold start
	 */
	record Load(int running, int queued, int limit, boolean isCold) {

		String headerValue() {
			return this.running + " " + this.queued + " " + this.limit;
		}

	}

}
