package org.wigeontally.gateway;

import io.prometheus.metrics.core.metrics.Counter;
import io.prometheus.metrics.core.metrics.Gauge;
import io.prometheus.metrics.core.metrics.Histogram;
import io.prometheus.metrics.model.registry.PrometheusRegistry;

import org.wigeontally.queueing.WaitDecision;

/**
 * Metrics of requests that wait for a slot. Ranks are bounded, reasons and outcomes come
 * from fixed lists.
 */
final class QueueMetrics {

	private static final double[] BUCKET_BOUNDS_SECONDS = { 0.01, 0.025, 0.05, 0.1, 0.15, 0.2, 0.3, 0.4, 0.6, 0.8 };

	private static final double MS_PER_SECOND = 1000.0;

	/** Least urgent rank that is told apart, as in the wire protocol. */
	private static final int MAX_RANK = 9;

	private final Counter waits;

	private final Histogram waitSeconds;

	private final Counter refusals;

	private final Gauge waiting;

	QueueMetrics(PrometheusRegistry registry) {
		this.waits = Counter.builder()
			.name("wigeontally_waits_total")
			.help("Requests that waited for a slot, by why they waited and how that ended")
			.labelNames("service", "rank", "reason", "outcome")
			.register(registry);
		this.waitSeconds = Histogram.builder()
			.name("wigeontally_wait_seconds")
			.help("Time for which requests waited for a slot, by outcome")
			.labelNames("service", "outcome")
			.classicOnly()
			.classicUpperBounds(BUCKET_BOUNDS_SECONDS)
			.register(registry);
		this.refusals = Counter.builder()
			.name("wigeontally_queue_refusals_total")
			.help("Requests that found no slot and were refused, with or without waiting, by reason")
			.labelNames("service", "rank", "reason")
			.register(registry);
		this.waiting = Gauge.builder()
			.name("wigeontally_waiting_requests")
			.help("Requests that wait for a slot")
			.labelNames("service")
			.register(registry);
	}

	void recordWait(String service, int rank, WaitDecision.Reason reason, String outcome, long waitedMs) {
		this.waits.labelValues(service, rankLabel(rank), reason.label(), outcome).inc();
		this.waitSeconds.labelValues(service, outcome).observe(waitedMs / MS_PER_SECOND);
	}

	void recordRefusal(String service, int rank, WaitDecision.Reason reason) {
		this.refusals.labelValues(service, rankLabel(rank), reason.label()).inc();
	}

	void setWaiting(String service, int count) {
		this.waiting.labelValues(service).set(count);
	}

	private static String rankLabel(int rank) {
		return Integer.toString(Math.max(0, Math.min(rank, MAX_RANK)));
	}

}
