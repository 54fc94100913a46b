package org.wigeontally.entry;

import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

import org.wigeontally.misc.Clock;
import org.wigeontally.routing.Candidate;
import org.wigeontally.schema.generated.BackendState;
import org.wigeontally.schema.generated.HostState;

/**
 * Tracks the load of backend servers: this entry's own requests in flight, and the load
 * that was reported with the last answer of each backend server. Before the first such
 * report, the load in the host's state is used. Thread-safe.
 */
final class BackendLoadTracker {

	/** Running requests, queued requests, and concurrency limit. */
	private static final int LOAD_HEADER_FIELDS = 3;

	private final Clock clock;

	private final Map<String, AtomicInteger> ownInFlight = new ConcurrentHashMap<>();

	private final Map<String, LoadReport> reports = new ConcurrentHashMap<>();

	BackendLoadTracker(Clock clock) {
		this.clock = clock;
	}

	void requestSent(String host, String service) {
		inFlightCounter(key(host, service)).incrementAndGet();
	}

	void requestEnded(String host, String service) {
		inFlightCounter(key(host, service)).decrementAndGet();
	}

	void recordLoadHeader(String host, String service, String header) {
		if (header == null) {
			return;
		}
		String[] fields = header.split(" ");
		if (fields.length != LOAD_HEADER_FIELDS) {
			return;
		}
		try {
			int load = Integer.parseInt(fields[0]) + Integer.parseInt(fields[1]);
			int ownInFlight = inFlightCounter(key(host, service)).get();
			this.reports.put(key(host, service),
					new LoadReport(load, ownInFlight, Integer.parseInt(fields[2]), this.clock.monotonicMs()));
		}
		catch (NumberFormatException ex) {
			this.reports.remove(key(host, service));
		}
	}

	Candidate candidate(HostState host, BackendState backend) {
		String key = key(host.getHost().getHost(), backend.getService());
		int ownInFlight = inFlightCounter(key).get();
		LoadReport report = Optional.ofNullable(this.reports.get(key))
			.orElseGet(() -> reportOf(host, backend, ownInFlight));
		long ageMs = Math.max(0, this.clock.monotonicMs() - report.reportedMs);
		return new Candidate(host.getHost().getHost(), host.getHost().getRegion(), host.getHost().getZone(),
				backend.getService(), backend.getVersion(), Set.copyOf(backend.getAdaptersList()),
				Math.max(1, report.limit), report.load, report.ownInFlight, ageMs, backend.getCold(), backend.getUp(),
				ownInFlight);
	}

	private LoadReport reportOf(HostState host, BackendState backend, int ownInFlight) {
		int load = backend.getRunning() + backend.getQueued();
		return new LoadReport(load, ownInFlight, backend.getLimit(), this.clock.monotonicMs() - host.getHeardAgeMs());
	}

	private AtomicInteger inFlightCounter(String key) {
		return this.ownInFlight.computeIfAbsent(key, (absent) -> new AtomicInteger());
	}

	private static String key(String host, String service) {
		return host + "/" + service;
	}

	/**
	 * Reported load of a backend server, and this entry's own requests in flight at that
	 * time.
	 */
	private record LoadReport(int load, int ownInFlight, int limit, long reportedMs) {

	}

}
