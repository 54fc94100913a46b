package org.wigeontally.metrics;

import io.prometheus.metrics.core.metrics.Counter;
import io.prometheus.metrics.core.metrics.Histogram;
import io.prometheus.metrics.model.registry.PrometheusRegistry;

/**
 * Admission metrics of an agent by organisation, service and class. Thread-safe.
 */
public final class AgentMetrics {

	private static final String[] LABELS = { "organisation", "service", "class" };

	private static final double[] QUEUE_BUCKET_BOUNDS_SECONDS = { 0.001, 0.01, 0.05, 0.1, 0.2, 0.4, 0.8, 1.6 };

	private static final double MS_PER_S = 1_000;

	private final Histogram queueSeconds;

	private final Counter coldAdmissions;

	private final Counter refusals;

	private AgentMetrics(PrometheusRegistry registry) {
		this.queueSeconds = Histogram.builder()
			.name("wigeontally_queue_seconds")
			.help("Time in the queue of requests that ran")
			.labelNames(LABELS)
			.classicOnly()
			.classicUpperBounds(QUEUE_BUCKET_BOUNDS_SECONDS)
			.register(registry);
		this.coldAdmissions = Counter.builder()
			.name("wigeontally_cold_admissions_total")
			.help("Requests sent to a backend server in cold start")
			.labelNames(LABELS)
			.register(registry);
		this.refusals = Counter.builder()
			.name("wigeontally_admission_refusals_total")
			.help("Requests refused by error number")
			.labelNames("organisation", "service", "class", "error")
			.register(registry);
	}

	/**
	 * Creates the metrics.
	 * @param registry registry that receives the metrics
	 * @return the metrics
	 */
	public static AgentMetrics create(PrometheusRegistry registry) {
		return new AgentMetrics(registry);
	}

	/**
	 * Records a request that is sent to the backend server.
	 * @param labels organisation, service and class
	 * @param waitedMs time in the queue, in milliseconds
	 * @param isCold true if the backend server is in cold start
	 */
	public void recordAdmission(TrafficLabels labels, double waitedMs, boolean isCold) {
		this.queueSeconds.labelValues(labels.values()).observe(waitedMs / MS_PER_S);
		if (isCold) {
			this.coldAdmissions.labelValues(labels.values()).inc();
		}
	}

	/**
	 * Records a refused request.
	 * @param labels organisation, service and class
	 * @param error number of the error
	 */
	public void recordRefusal(TrafficLabels labels, int error) {
		this.refusals.labelValues(labels.organisation(), labels.service(), labels.priority(), Integer.toString(error))
			.inc();
	}

}
