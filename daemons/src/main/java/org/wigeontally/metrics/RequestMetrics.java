package org.wigeontally.metrics;

import java.util.concurrent.TimeUnit;

import io.prometheus.metrics.core.metrics.Counter;
import io.prometheus.metrics.core.metrics.Histogram;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import io.vertx.core.http.HttpServerResponse;
import io.vertx.ext.web.RoutingContext;

import org.wigeontally.http.Headers;

/**
 * Counts callers' requests and their times, by service, organisation and priority. Safe
 * for use by several threads.
 */
public final class RequestMetrics {

	private static final String[] CLASS_LABELS = { "service", "organisation", "priority" };

	private static final double[] BOUNDS_SECONDS = { 0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 0.92, 1.5, 3,
			6, 12, 30, 60 };

	private final Counter requests;

	private final Counter refusals;

	private final Histogram firstByte;

	private final Histogram whole;

	private RequestMetrics(PrometheusRegistry registry) {
		this.requests = Counter.builder()
			.name("wigeontally_requests_total")
			.help("Answers begun to requests that passed the checks, by outcome: done, not-run or unknown")
			.labelNames("service", "organisation", "priority", "outcome")
			.register(registry);
		this.refusals = Counter.builder()
			.name("wigeontally_refusals_total")
			.help("Answers without a result, by number in the error enumeration")
			.labelNames("error")
			.register(registry);
		this.firstByte = histogram("wigeontally_first_byte_seconds", "Time to the first byte of the answer", registry);
		this.whole = histogram("wigeontally_request_seconds", "Time to the end of the answer", registry);
	}

	/**
	 * Registers the metrics.
	 * @param registry the metrics of the process
	 * @return the metrics
	 */
	public static RequestMetrics register(PrometheusRegistry registry) {
		return new RequestMetrics(registry);
	}

	private static Histogram histogram(String name, String help, PrometheusRegistry registry) {
		return Histogram.builder()
			.name(name)
			.help(help)
			.labelNames(CLASS_LABELS)
			.classicOnly()
			.classicUpperBounds(BOUNDS_SECONDS)
			.register(registry);
	}

	/**
	 * Follows any request, to count refusals.
	 * @param context the request
	 */
	public void follow(RoutingContext context) {
		context.addHeadersEndHandler((head) -> {
			String error = context.response().headers().get(Headers.ERROR);
			if (error != null) {
				this.refusals.labelValues(error).inc();
			}
		});
		context.next();
	}

	/**
	 * Follows a request that passed the checks.
	 * @param context the request
	 * @param service name of the service
	 * @param organisation name of the organisation
	 * @param priority priority of the request
	 */
	public void follow(RoutingContext context, String service, String organisation, String priority) {
		long startNs = System.nanoTime();
		HttpServerResponse response = context.response();
		context.addHeadersEndHandler((head) -> {
			String outcome = response.headers().get(Headers.OUTCOME);
			this.requests.labelValues(service, organisation, priority, (outcome != null) ? outcome : "none").inc();
			this.firstByte.labelValues(service, organisation, priority).observe(secondsSince(startNs));
		});
		context.addBodyEndHandler(
				(end) -> this.whole.labelValues(service, organisation, priority).observe(secondsSince(startNs)));
	}

	private static double secondsSince(long startNs) {
		return (System.nanoTime() - startNs) / (double) TimeUnit.SECONDS.toNanos(1);
	}

}
