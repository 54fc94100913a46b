package org.wigeontally.metrics;

import io.prometheus.metrics.core.metrics.Counter;
import io.prometheus.metrics.core.metrics.Histogram;
import io.prometheus.metrics.model.registry.PrometheusRegistry;

/**
 * Traffic metrics of an entry by organisation, service and class. The class is the
 * priority of the request. Thread-safe.
 */
public final class EntryMetrics {

	private static final String[] LABELS = { "organisation", "service", "class" };

	private static final double[] FIRST_TOKEN_BUCKET_BOUNDS_SECONDS = { 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 0.92, 1.5, 3,
			10 };

	private static final double[] BETWEEN_TOKENS_BUCKET_BOUNDS_SECONDS = { 0.005, 0.01, 0.02, 0.04, 0.06, 0.1, 0.25,
			1 };

	private static final double MS_PER_S = 1_000;

	private final Histogram firstToken;

	private final Histogram betweenTokens;

	private final Counter retries;

	private EntryMetrics(PrometheusRegistry registry) {
		this.firstToken = Histogram.builder()
			.name("wigeontally_first_token_seconds")
			.help("Time from the request to the first part of its answer")
			.labelNames(LABELS)
			.classicOnly()
			.classicUpperBounds(FIRST_TOKEN_BUCKET_BOUNDS_SECONDS)
			.register(registry);
		this.betweenTokens = Histogram.builder()
			.name("wigeontally_between_tokens_seconds")
			.help("Time between two parts of a stream")
			.labelNames(LABELS)
			.classicOnly()
			.classicUpperBounds(BETWEEN_TOKENS_BUCKET_BOUNDS_SECONDS)
			.register(registry);
		this.retries = Counter.builder()
			.name("wigeontally_retries_total")
			.help("Dispatches after the first of a request")
			.labelNames(LABELS)
			.register(registry);
	}

	/**
	 * Creates the metrics.
	 * @param registry registry that receives the metrics
	 * @return the metrics
	 */
	public static EntryMetrics create(PrometheusRegistry registry) {
		return new EntryMetrics(registry);
	}

	/**
	 * Records the first part of an answer.
	 * @param labels organisation, service and class
	 * @param elapsedMs time since the request arrived, in milliseconds
	 */
	public void recordFirstToken(TrafficLabels labels, double elapsedMs) {
		this.firstToken.labelValues(labels.values()).observe(elapsedMs / MS_PER_S);
	}

	/**
	 * Records a later part of a stream.
	 * @param labels organisation, service and class
	 * @param elapsedMs time since the previous part, in milliseconds
	 */
	public void recordBetweenTokens(TrafficLabels labels, double elapsedMs) {
		this.betweenTokens.labelValues(labels.values()).observe(elapsedMs / MS_PER_S);
	}

	/**
	 * Records a dispatch of a request after its first one.
	 * @param labels organisation, service and class
	 */
	public void recordRetry(TrafficLabels labels) {
		this.retries.labelValues(labels.values()).inc();
	}

}
