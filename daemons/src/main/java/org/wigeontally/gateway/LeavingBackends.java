package org.wigeontally.gateway;

import java.util.ArrayList;
import java.util.List;

import org.wigeontally.eventlog.EventLog;
import org.wigeontally.eventlog.LogEvent;
import org.wigeontally.misc.Clock;
import org.wigeontally.platform.wire.BackendNotice;
import org.wigeontally.schema.generated.LeavingBackend;

/**
 * What backend servers say about themselves beside their registrations: that they stop
 * soon, or that they ask for a pause. It comes from their responses, their agents and
 * other entries. Runs on the event loop.
 */
final class LeavingBackends {

	private final FleetState fleet;

	private final Clock clock;

	private final EventLog log;

	LeavingBackends(FleetState fleet, Clock clock, EventLog log) {
		this.fleet = fleet;
		this.clock = clock;
		this.log = log;
	}

	/**
	 * Records what a backend server said about itself in a response.
	 * @param backend the backend server
	 * @param notice the notice
	 */
	void recordNotice(Backend backend, BackendNotice notice) {
		if (notice == BackendNotice.NONE || notice == BackendNotice.FOREIGN) {
			return;
		}
		String id = backend.record().id();
		if (notice.unreadable() != null) {
			this.log.write(LogEvent.HEADER_UNREADABLE, "backend", id, "header", notice.unreadable());
		}
		if (notice.pauseMs() > 0) {
			backend.health().recordPause(this.clock.monotonicMs(), notice.pauseMs());
			this.log.write(LogEvent.BACKEND, "backend", id, "pause-ms", notice.pauseMs());
		}
		if (notice.leaving()) {
			record(backend, "response");
		}
	}

	/**
	 * Records that a backend server stops soon.
	 * @param backend the backend server
	 * @param source who says so, for the log
	 */
	void record(Backend backend, String source) {
		if (backend.recordLeaving()) {
			this.log.write(LogEvent.BACKEND, "backend", backend.record().id(), "leaving", true, "source", source);
		}
	}

	/**
	 * Records that another entry was told by a backend server that it stops soon.
	 * @param leaving the process of the backend server
	 * @param source the entry that says so, for the log
	 */
	void record(LeavingBackend leaving, String source) {
		Backend backend = this.fleet.backend(leaving.getId(), leaving.getProcessStartMs());
		if (backend != null) {
			record(backend, source);
		}
	}

	/**
	 * Returns the backend servers that said in a response that they stop soon.
	 * @return their processes
	 */
	List<LeavingBackend> list() {
		List<LeavingBackend> leaving = new ArrayList<>();
		for (Backend backend : this.fleet.backends()) {
			if (backend.hasSaidLeaving()) {
				leaving.add(LeavingBackend.newBuilder()
					.setId(backend.record().id())
					.setProcessStartMs(backend.record().processStartMs())
					.build());
			}
		}
		return leaving;
	}

}
