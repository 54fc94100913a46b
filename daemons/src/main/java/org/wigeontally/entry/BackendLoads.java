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
 * What the entry knows of the load of backend servers: its own requests in flight, and
 * the load that came with the last answer of each. Safe for use by several threads.
 */
final class BackendLoads {

	private static final int PARTS = 3;

	private final Clock clock;

	private final Map<String, AtomicInteger> inFlight = new ConcurrentHashMap<>();

	private final Map<String, Report> reports = new ConcurrentHashMap<>();

	BackendLoads(Clock clock) {
		this.clock = clock;
	}

	void sent(String host, String service) {
		own(key(host, service)).incrementAndGet();
	}

	void ended(String host, String service) {
		own(key(host, service)).decrementAndGet();
	}

	void heard(String host, String service, String header) {
		if (header == null) {
			return;
		}
		String[] parts = header.split(" ");
		if (parts.length != PARTS) {
			return;
		}
		try {
			int load = Integer.parseInt(parts[0]) + Integer.parseInt(parts[1]);
			int own = own(key(host, service)).get();
			this.reports.put(key(host, service),
					new Report(load, own, Integer.parseInt(parts[2]), this.clock.monotonicMs()));
		}
		catch (NumberFormatException ex) {
			this.reports.remove(key(host, service));
		}
	}

	Candidate candidate(HostState host, BackendState backend) {
		String key = key(host.getHost().getHost(), backend.getService());
		int own = own(key).get();
		Report report = Optional.ofNullable(this.reports.get(key)).orElseGet(() -> fromRow(host, backend, own));
		long ageMs = Math.max(0, this.clock.monotonicMs() - report.atMs);
		return new Candidate(host.getHost().getHost(), host.getHost().getRegion(), host.getHost().getZone(),
				backend.getService(), backend.getVersion(), Set.copyOf(backend.getAdaptersList()),
				Math.max(1, report.limit), report.load, report.own, ageMs, backend.getCold(), backend.getUp(), own);
	}

	private Report fromRow(HostState host, BackendState backend, int own) {
		int load = backend.getRunning() + backend.getQueued();
		return new Report(load, own, backend.getLimit(), this.clock.monotonicMs() - host.getHeardAgeMs());
	}

	private AtomicInteger own(String key) {
		return this.inFlight.computeIfAbsent(key, (absent) -> new AtomicInteger());
	}

	private static String key(String host, String service) {
		return host + "/" + service;
	}

	/**
	 * Load of a backend server at an instant.
	 */
	private record Report(int load, int own, int limit, long atMs) {

	}

}
