package org.wigeontally.emulator.traffic;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;

import org.wigeontally.admission.AdmissionController;
import org.wigeontally.admission.AdmissionDecision;
import org.wigeontally.admission.AdmissionLimits;
import org.wigeontally.admission.AdmissionRequest;
import org.wigeontally.admission.EngineReport;

/**
 * An agent with its engine: the real gate before the model of an engine, or for the plain
 * baseline a first-in-first-out queue without bound. Used by one thread.
 */
final class ModelAgent {

	static final int CAPACITY = 16;

	private static final int COLD_CAPACITY = 2;

	private static final int QUEUE_LIMIT = 8;

	private static final double TICK_MS = 50;

	private final VirtualTime time;

	private final String host;

	private final int zone;

	private final ModelEngine engine;

	private final AdmissionController gate;

	private final boolean gated;

	private final Deque<String> waiting = new ArrayDeque<>();

	private final Map<String, Sending> pending = new HashMap<>();

	private final Map<Integer, Integer> byEntry = new HashMap<>();

	ModelAgent(VirtualTime time, String host, int zone, ModelEngine engine, boolean gated, Random random) {
		this.time = time;
		this.host = host;
		this.zone = zone;
		this.engine = engine;
		this.gated = gated;
		this.gate = AdmissionController.create(AdmissionLimits.reporting(CAPACITY, COLD_CAPACITY, QUEUE_LIMIT), time,
				random);
		this.gate.applyReport(new EngineReport(0, EngineReport.WarmupState.WARM, time.monotonicMs()));
		time.after(TICK_MS, this::tick);
	}

	String host() {
		return this.host;
	}

	int zone() {
		return this.zone;
	}

	Load load(int entry) {
		return new Load(this.gate.runningCount() + this.gate.queuedCount(), this.byEntry.getOrDefault(entry, 0),
				this.gate.limit(), this.gate.isCold());
	}

	void offer(AdmissionRequest request, Sending sending) {
		this.pending.put(request.id(), sending);
		this.byEntry.merge(sending.entry(), 1, Integer::sum);
		if (this.gated) {
			carryOut(this.gate.offer(request));
			return;
		}
		this.waiting.addLast(request.id());
		startWaiting();
	}

	private void carryOut(AdmissionDecision admission) {
		String id = admission.request().id();
		Sending sending = this.pending.get(id);
		switch (admission.verdict()) {
			case RUN -> start(id);
			case REFUSED -> {
				gone(id);
				sending.listener().refused(admission);
			}
			default -> {
			}
		}
	}

	private void start(String id) {
		Sending sending = this.pending.get(id);
		this.engine.start(sending.request(), (index) -> token(id, sending, index), () -> end(id));
	}

	private void startWaiting() {
		while (!this.waiting.isEmpty() && this.engine.running() < CAPACITY) {
			start(this.waiting.removeFirst());
		}
	}

	private void token(String id, Sending sending, int index) {
		if (index == 0) {
			carryOut(this.gate.responseStarted(id));
		}
		sending.listener().token(index);
	}

	private void end(String id) {
		Sending sending = gone(id);
		carryOut(this.gate.requestEnded(id, AdmissionController.CompletionStatus.COMPLETED));
		startWaiting();
		sending.listener().ended();
	}

	private Sending gone(String id) {
		Sending sending = this.pending.remove(id);
		this.byEntry.merge(sending.entry(), -1, Integer::sum);
		return sending;
	}

	private void carryOut(List<AdmissionDecision> admissions) {
		for (AdmissionDecision admission : admissions) {
			carryOut(admission);
		}
	}

	private void tick() {
		carryOut(this.gate.processQueue());
		this.time.after(TICK_MS, this::tick);
	}

	/**
	 * Load as an answer tells it to one entry.
	 */
	record Load(int running, int ofEntry, int limit, boolean cold) {

	}

	/**
	 * One dispatch of a request.
	 */
	record Sending(int entry, ModelRequest request, Listener listener) {

	}

	/**
	 * What becomes of a dispatch, at the agent's side.
	 */
	interface Listener {

		void refused(AdmissionDecision admission);

		void token(int index);

		void ended();

	}

}
