package org.wigeontally.metrics;

import java.util.concurrent.TimeUnit;

import io.prometheus.metrics.core.metrics.Counter;
import io.prometheus.metrics.core.metrics.Histogram;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import io.vertx.core.http.HttpServerResponse;
import io.vertx.ext.web.RoutingContext;

import org.wigeontally.http.Headers;

/**
 * Counts callers' requests and measures their durations by service, organisation and
 * priority. Thread-safe.
 */
public final class RequestMetrics {

	private static final String[] LABELS = { "organisation", "service", "class" };

	private static final double[] BUCKET_BOUNDS_SECONDS = { 0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 0.92,
			1.5, 3, 6, 12, 30, 60 };

	private final Counter requests;

	private final Counter errorAnswers;

	private final Histogram requestSeconds;

	private RequestMetrics(PrometheusRegistry registry) {
		this.requests = Counter.builder()
			.name("wigeontally_requests_total")
			.help("Answers begun to requests that passed the checks, by outcome: done, not-run or unknown")
			.labelNames("organisation", "service", "class", "outcome")
			.register(registry);
		this.errorAnswers = Counter.builder()
			.name("wigeontally_error_answers_total")
			.help("Answers without a result to any request, by number in the error enumeration")
			.labelNames("error")
			.register(registry);
		this.requestSeconds = Histogram.builder()
			.name("wigeontally_request_seconds")
			.help("Time to the end of the answer")
			.labelNames(LABELS)
			.classicOnly()
			.classicUpperBounds(BUCKET_BOUNDS_SECONDS)
			.register(registry);
	}

	/**
	 * Registers the metrics.
	 * @param registry registry that receives the metrics
	 * @return the metrics
	 */
	public static RequestMetrics register(PrometheusRegistry registry) {
		return new RequestMetrics(registry);
	}

	/**
	 * Counts the error answer if the request ends with one, and passes the request on to
	 * the next handler.
	 * @param context the request
	 */
	public void trackErrorAnswer(RoutingContext context) {
		context.addHeadersEndHandler((head) -> {
			String error = context.response().headers().get(Headers.ERROR);
			if (error != null) {
				this.errorAnswers.labelValues(error).inc();
			}
		});
		context.next();
	}

	/**
	 * Counts a request that passed the checks by its outcome and measures its duration.
	 * @param context the request
	 * @param labels organisation, service and class
	 */
	public void trackRequest(RoutingContext context, TrafficLabels labels) {
		long startNs = System.nanoTime();
		HttpServerResponse response = context.response();
		context.addHeadersEndHandler((head) -> {
			String outcome = response.headers().get(Headers.OUTCOME);
			this.requests
				.labelValues(labels.organisation(), labels.service(), labels.priority(),
						(outcome != null) ? outcome : "none")
				.inc();
		});
		context.addBodyEndHandler(
				(end) -> this.requestSeconds.labelValues(labels.values()).observe(secondsSince(startNs)));
	}

	private static double secondsSince(long startNs) {
		return (System.nanoTime() - startNs) / (double) TimeUnit.SECONDS.toNanos(1);
	}

}
