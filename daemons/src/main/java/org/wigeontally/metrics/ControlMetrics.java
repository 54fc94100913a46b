package org.wigeontally.metrics;

import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.function.Supplier;

import io.prometheus.metrics.core.metrics.GaugeWithCallback;
import io.prometheus.metrics.model.registry.PrometheusRegistry;

import org.wigeontally.control.ControlView;
import org.wigeontally.schema.generated.BackendState;
import org.wigeontally.schema.generated.HostState;
import org.wigeontally.schema.generated.Liveness;
import org.wigeontally.schema.generated.Role;
import org.wigeontally.schema.generated.ZoneState;

/**
 * Gauges of the control plane and of backend servers, whose values are read at each
 * scrape.
 */
public final class ControlMetrics {

	private ControlMetrics() {
	}

	/**
	 * Registers the gauges of the control plane.
	 * @param registry the metrics of the process
	 * @param view source of the values
	 */
	public static void register(PrometheusRegistry registry, ControlView view) {
		registerGauge(registry, "wigeontally_serving", "1 if the process may start new work",
				() -> view.isServing() ? 1 : 0);
		registerGauge(registry, "wigeontally_revision", "Revision of the configuration in force on the process",
				() -> view.configuration().revision());
		registerGauge(registry, "wigeontally_applied_offset", "Offset of the last log record that the process holds",
				() -> view.configuration().appliedOffset());
		GaugeWithCallback.builder()
			.name("wigeontally_zone_out")
			.help("1 if the availability zone is out")
			.labelNames("zone")
			.callback((callback) -> {
				for (ZoneState zone : view.configuration().snapshot().getZonesList()) {
					callback.call(zone.getOut() ? 1 : 0, zone.getZone());
				}
			})
			.register(registry);
		for (Role role : List.of(Role.ENTRY, Role.AGENT)) {
			registerHostGauge(registry, view, role);
		}
	}

	private static void registerGauge(PrometheusRegistry registry, String name, String help, Supplier<Number> value) {
		GaugeWithCallback.builder()
			.name(name)
			.help(help)
			.callback((callback) -> callback.call(value.get().doubleValue()))
			.register(registry);
	}

	private static void registerHostGauge(PrometheusRegistry registry, ControlView view, Role role) {
		String name = (role == Role.ENTRY) ? "entries" : "agents";
		GaugeWithCallback.builder()
			.name("wigeontally_" + name)
			.help("Hosts of the kind in the process's table, by liveness")
			.labelNames("liveness")
			.callback((callback) -> countByLiveness(view.hosts(), role)
				.forEach((liveness, count) -> callback.call(count, liveness.name().toLowerCase())))
			.register(registry);
	}

	private static Map<Liveness, Integer> countByLiveness(List<HostState> hosts, Role role) {
		Map<Liveness, Integer> counts = new EnumMap<>(Liveness.class);
		for (Liveness liveness : List.of(Liveness.LIVE, Liveness.SUSPECTED, Liveness.LEAVING)) {
			counts.put(liveness, 0);
		}
		for (HostState host : hosts) {
			if (host.getHost().getRole() == role) {
				counts.merge(host.getLiveness(), 1, Integer::sum);
			}
		}
		return counts;
	}

	/**
	 * Registers the gauges of an agent's backend servers.
	 * @param registry the metrics of the process
	 * @param backends supplies the states of the backend servers
	 */
	public static void registerBackends(PrometheusRegistry registry, Supplier<List<BackendState>> backends) {
		GaugeWithCallback.builder()
			.name("wigeontally_backend_up")
			.help("1 if the backend server answers")
			.labelNames("service", "version")
			.callback((callback) -> backends.get()
				.forEach((state) -> callback.call(state.getUp() ? 1 : 0, state.getService(), state.getVersion())))
			.register(registry);
		GaugeWithCallback.builder()
			.name("wigeontally_backend_cold")
			.help("1 if the backend server is in a cold start")
			.labelNames("service")
			.callback((callback) -> backends.get()
				.forEach((state) -> callback.call(state.getCold() ? 1 : 0, state.getService())))
			.register(registry);
		GaugeWithCallback.builder()
			.name("wigeontally_backend_running")
			.help("Requests that the backend server runs")
			.labelNames("service")
			.callback((callback) -> backends.get()
				.forEach((state) -> callback.call(state.getRunning(), state.getService())))
			.register(registry);
		GaugeWithCallback.builder()
			.name("wigeontally_backend_limit")
			.help("Most requests at once that the agent gives the backend server now")
			.labelNames("service")
			.callback((callback) -> backends.get()
				.forEach((state) -> callback.call(state.getLimit(), state.getService())))
			.register(registry);
	}

}
