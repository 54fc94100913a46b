package org.wigeontally.gateway;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.function.Function;

import org.wigeontally.eventlog.EventLog;
import org.wigeontally.eventlog.LogEvent;
import org.wigeontally.limits.BackendLimit;
import org.wigeontally.misc.Clock;
import org.wigeontally.platform.wire.BackendNotice;
import org.wigeontally.schema.generated.LimitedBackend;

/**
 * The limits that backend servers name, from their responses and from other entries. Runs
 * on the event loop.
 */
final class BackendLimits {

	private final FleetState fleet;

	private final Clock clock;

	private final EventLog log;

	BackendLimits(FleetState fleet, Clock clock, EventLog log) {
		this.fleet = fleet;
		this.clock = clock;
		this.log = log;
	}

	/**
	 * Records the limit that a response names, or that it names none.
	 * @param backend the backend server
	 * @param perSecond requests per second; {@link BackendNotice#UNKNOWN_LIMIT} if the
	 * response does not tell
	 * @param sentAtMs when the request was sent
	 * @return true if the other entries are to be told at once
	 */
	boolean record(Backend backend, double perSecond, long sentAtMs) {
		if (perSecond == BackendNotice.UNKNOWN_LIMIT) {
			return false;
		}
		long nowMs = this.clock.monotonicMs();
		long atMs = (perSecond > BackendLimit.NONE) ? nowMs : sentAtMs;
		BackendLimit.Change change = backend.limit().record(perSecond, atMs, nowMs);
		changed(backend, change, "response");
		return change.isUrgent();
	}

	/**
	 * Records what an entry that calls this one knows of the limit of a backend server.
	 * @param limited the limit
	 * @param source the entry that says so, for the log
	 */
	void record(LimitedBackend limited, String source) {
		long nowMs = this.clock.monotonicMs();
		record(limited, source, (limit) -> limit.recordNews(limited.getPerSecond(), limited.getEvidenceAgeMs(), nowMs));
	}

	/**
	 * Records what another entry replied about the limit of a backend server.
	 * @param limited the limit
	 * @param source the entry that says so, for the log
	 * @param askedAtMs when this entry asked
	 */
	void recordReply(LimitedBackend limited, String source, long askedAtMs) {
		long nowMs = this.clock.monotonicMs();
		record(limited, source,
				(limit) -> limit.recordReply(limited.getPerSecond(), limited.getEvidenceAgeMs(), askedAtMs, nowMs));
	}

	private void record(LimitedBackend limited, String source, Function<BackendLimit, BackendLimit.Change> evidence) {
		Backend backend = this.fleet.backend(limited.getId(), limited.getProcessStartMs());
		if (backend == null) {
			// Not registered here yet, or no longer; the news comes with each exchange.
			return;
		}
		if (!Double.isFinite(limited.getPerSecond()) || limited.getPerSecond() < 0) {
			this.log.write(LogEvent.FAULT, "backend", limited.getId(), "source", source, "reason",
					"limit of " + limited.getPerSecond() + " requests per second");
			return;
		}
		changed(backend, evidence.apply(backend.limit()), source);
	}

	private void changed(Backend backend, BackendLimit.Change change, String source) {
		if (change.isUrgent()) {
			this.log.write(LogEvent.BACKEND_LIMIT, "backend", backend.record().id(), "per-second",
					backend.limit().perSecond(), "change", change.name().toLowerCase(Locale.ROOT), "permitted",
					backend.permits().permitted(), "source", source);
		}
		if (change == BackendLimit.Change.ENDED) {
			backend.permits().limitEnded();
		}
	}

	/**
	 * Returns the backend servers that name a limit or have named one.
	 * @return their processes with what is known of the limit
	 */
	List<LimitedBackend> news() {
		List<LimitedBackend> limited = new ArrayList<>();
		for (Backend backend : this.fleet.backends()) {
			if (backend.limit().wasEverNamed()) {
				limited.add(toNews(backend));
			}
		}
		return limited;
	}

	int countLimited() {
		int count = 0;
		for (Backend backend : this.fleet.backends()) {
			count += backend.limit().isNamed() ? 1 : 0;
		}
		return count;
	}

	LimitedBackend toNews(Backend backend) {
		return LimitedBackend.newBuilder()
			.setId(backend.record().id())
			.setProcessStartMs(backend.record().processStartMs())
			.setPerSecond(backend.limit().perSecond())
			.setEvidenceAgeMs(this.clock.monotonicMs() - backend.limit().evidenceAtMs())
			.build();
	}

}
