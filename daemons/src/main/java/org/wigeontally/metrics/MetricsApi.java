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

	private final BooleanSupplier ready;

	private MetricsApi(PrometheusRegistry registry, BooleanSupplier ready) {
		this.registry = registry;
		this.ready = ready;
	}

	/**
	 * Mounts the routes.
	 * @param router where to mount
	 * @param registry the metrics of the process
	 * @param ready tells whether the process takes new work
	 */
	public static void mount(Router router, PrometheusRegistry registry, BooleanSupplier ready) {
		MetricsApi api = new MetricsApi(registry, ready);
		router.get("/metrics").handler(api::metrics);
		router.get("/health").handler((context) -> context.end("running\n"));
		router.get("/ready").handler(api::readiness);
	}

	private void metrics(RoutingContext context) {
		write(this.registry, context.response());
	}

	/**
	 * Writes the page of metrics.
	 * @param registry the metrics of the process
	 * @param response where to
	 */
	public static void write(PrometheusRegistry registry, HttpServerResponse response) {
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

	private void readiness(RoutingContext context) {
		boolean takesWork = this.ready.getAsBoolean();
		context.response().setStatusCode(takesWork ? 200 : 503).end(takesWork ? "ready\n" : "not ready\n");
	}

}
