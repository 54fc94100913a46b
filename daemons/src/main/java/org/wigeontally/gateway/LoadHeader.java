package org.wigeontally.gateway;

import java.util.HashSet;
import java.util.Optional;
import java.util.Set;

import io.netty.handler.codec.http.HttpHeaders;

import org.wigeontally.eventlog.EventLog;
import org.wigeontally.eventlog.LogEvent;
import org.wigeontally.placement.SpeedReports;
import org.wigeontally.platform.wire.ReportedLoad;
import org.wigeontally.platform.wire.WireNames;

/**
 * Records the load and the speed that backend servers report in a response header. The
 * load is used only if no agent has recently reported on the backend server. The speed
 * changes faster than agents report and is always used. Runs on the event loop.
 */
final class LoadHeader {

	/** Backend servers whose unusable header is logged; bounds the memory. */
	private static final int MAX_LOGGED_BACKENDS = 1_000;

	private static final int MAX_LOGGED_CHARACTERS = 60;

	private final EventLog log;

	private final SpeedReports speedReports = SpeedReports.create();

	private final Set<String> unreadableBackendIds = new HashSet<>();

	LoadHeader(EventLog log) {
		this.log = log;
	}

	SpeedReports speedReports() {
		return this.speedReports;
	}

	void record(HttpHeaders headers, Backend backend, long nowMs) {
		String value = headers.get(WireNames.LOAD);
		if (value == null) {
			return;
		}
		Optional<ReportedLoad> decoded = ReportedLoad.decode(value);
		if (decoded.isEmpty()) {
			logUnreadable(value, backend);
			return;
		}
		ReportedLoad load = decoded.get();
		if (!backend.hasRecentReport(nowMs)) {
			backend.load().recordRequests(load.requests(), nowMs);
		}
		load.slowdown().ifPresent((slowdown) -> {
			backend.load().speed().recordReport(slowdown, nowMs);
			this.speedReports.record(backend.record().service(), nowMs);
		});
	}

	// An invalid load does not make the response invalid; the previous load stays in use.
	private void logUnreadable(String value, Backend backend) {
		if (this.unreadableBackendIds.size() < MAX_LOGGED_BACKENDS
				&& this.unreadableBackendIds.add(backend.record().id())) {
			this.log.write(LogEvent.HEADER_UNREADABLE, "backend", backend.record().id(), "header",
					WireNames.LOAD + ": " + value.substring(0, Math.min(value.length(), MAX_LOGGED_CHARACTERS)));
		}
	}

}
