package org.wigeontally.metrics;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.util.function.BooleanSupplier;

import io.prometheus.metrics.expositionformats.PrometheusTextFormatWriter;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpServerResponse;
import io.vertx.ext.web.Router;
import io.vertx.ext.web.RoutingContext;

/**
 * Serves {@code /metrics}, {@code /health} (the process runs) and {@code /ready} (the
 * process takes new work).
 */
public final class MetricsApi {

	private final PrometheusRegistry registry;

	private final BooleanSupplier isReady;

	private MetricsApi(PrometheusRegistry registry, BooleanSupplier isReady) {
		this.registry = registry;
		this.isReady = isReady;
	}

	/**
	 * Mounts the routes.
	 * @param router router that receives the routes
	 * @param registry the metrics of the process
	 * @param isReady returns whether the process takes new work
	 */
	public static void mount(Router router, PrometheusRegistry registry, BooleanSupplier isReady) {
		MetricsApi api = new MetricsApi(registry, isReady);
		router.get("/metrics").handler(api::handleMetrics);
		router.get("/health").handler((context) -> context.end("running\n"));
		router.get("/ready").handler(api::handleReadiness);
	}

	private void handleMetrics(RoutingContext context) {
		writeMetrics(this.registry, context.response());
	}

	/**
	 * Writes all metrics in the Prometheus text format and ends the response.
	 * @param registry the metrics of the process
	 * @param response the response to write to
	 */
	public static void writeMetrics(PrometheusRegistry registry, HttpServerResponse response) {
		ByteArrayOutputStream out = new ByteArrayOutputStream();
		try {
			PrometheusTextFormatWriter.create().write(out, registry.scrape());
		}
		catch (IOException ex) {
			response.setStatusCode(500).end(ex.getMessage());
			return;
		}
		response.putHeader("Content-Type", PrometheusTextFormatWriter.CONTENT_TYPE)
			.end(Buffer.buffer(out.toByteArray()));
	}

	private void handleReadiness(RoutingContext context) {
		boolean ready = this.isReady.getAsBoolean();
		context.response().setStatusCode(ready ? 200 : 503).end(ready ? "ready\n" : "not ready\n");
	}

}
