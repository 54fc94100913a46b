package org.wigeontally.gateway;

import java.util.Optional;
import java.util.function.Function;

import org.wigeontally.eventlog.EventLog;
import org.wigeontally.eventlog.LogEvent;
import org.wigeontally.misc.Clock;
import org.wigeontally.schema.generated.EngineStatus;
import org.wigeontally.settings.Addresses;
import org.wigeontally.weights.DisprovenLoads;
import org.wigeontally.weights.LoadLedger;

/**
 * What agents report on their engines. A report that is outdated, that comes from an
 * agent without a reachable engine, or that concerns another process than the registered
 * one is ignored. Runs on the event loop.
 */
final class AgentReports {

	private final Function<String, Backend> backendsByAddress;

	private final LeavingBackends leaving;

	private final Clock clock;

	private final EventLog log;

	private final DisprovenLoads disprovenLoads = DisprovenLoads.create();

	AgentReports(Function<String, Backend> backendsByAddress, LeavingBackends leaving, Clock clock, EventLog log) {
		this.backendsByAddress = backendsByAddress;
		this.leaving = leaving;
		this.clock = clock;
		this.log = log;
	}

	/**
	 * Records a report.
	 * @param status the report
	 * @return the engine, or nothing if the report was ignored
	 */
	Optional<Backend> record(EngineStatus status) {
		String address = Addresses.format(status.getBackend());
		recordDisproven(address, status);
		Backend backend = this.backendsByAddress.apply(address);
		if (backend == null || !backend.acceptReportSequence(status.getIncarnation(), status.getSequence())) {
			return Optional.empty();
		}
		if (!status.getReachable() || (backend.record().processStartMs() != 0 && status.getEngineBorn() != 0
				&& backend.record().processStartMs() != status.getEngineBorn())) {
			return Optional.empty();
		}
		if (status.getEngineLeaving()) {
			this.leaving.record(backend, "agent");
		}
		long nowMs = this.clock.monotonicMs();
		backend.recordReport(status.getLoadedVersion(), status.getLoading(), nowMs);
		backend.load().recordReport(status.getActive() + status.getQueued(), status.getPace(), nowMs);
		return Optional.of(backend);
	}

	private void recordDisproven(String address, EngineStatus status) {
		if (status.getEngineBorn() == 0) {
			return;
		}
		this.disprovenLoads.recordBegun(address,
				new LoadLedger.Load(status.getEngineBorn(), status.getStartedOrders()));
		if (status.getDisprovenOrders() > 0 && this.disprovenLoads.record(address,
				new LoadLedger.Load(status.getEngineBorn(), status.getDisprovenOrders()))) {
			this.log.write(LogEvent.ENGINE, "backend", address, "weights", "disproven", "orders",
					status.getDisprovenOrders(), "born", status.getEngineBorn());
		}
	}

	/**
	 * Returns whether the weights that an engine has loaded are known to be wrong.
	 * @param backend the engine
	 * @return true if no request may run on them
	 */
	boolean isLoadDisproven(Backend backend) {
		return disprovenLoad(backend.record().address(), backend.record().processStartMs()).isPresent();
	}

	/**
	 * Returns the load of an engine that an agent has found wrong.
	 * @param address address of the engine
	 * @param engineStartMs start of its process; 0 if it is not known
	 * @return the load; empty if the weights that it has loaded are not known to be wrong
	 */
	Optional<LoadLedger.Load> disprovenLoad(String address, long engineStartMs) {
		return this.disprovenLoads.find(address, engineStartMs);
	}

}
