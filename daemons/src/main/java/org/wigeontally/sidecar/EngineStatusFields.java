package org.wigeontally.sidecar;

import org.wigeontally.platform.wire.EngineState;
import org.wigeontally.schema.generated.EngineStatus;
import org.wigeontally.weights.LoadLedger;

/**
 * Fields of an agent's report that describe the process of its engine.
 */
final class EngineStatusFields {

	private EngineStatusFields() {
	}

	/**
	 * Adds the fields to a report.
	 * @param status the report
	 * @param state last known state of the engine
	 * @param ledger what is known of its loads
	 */
	static void add(EngineStatus.Builder status, EngineState state, LoadLedger ledger) {
		status.setEngineBorn(state.processStartMs())
			.setActive(state.activeRequests())
			.setQueued(state.queuedRequests())
			.setPace(state.slowdownFactor())
			.setEngineLeaving(state.leaving())
			.setStartedOrders(state.startedOrders());
		ledger.disprovenLoad().ifPresent((load) -> status.setDisprovenOrders(load.startedOrders()));
	}

}
