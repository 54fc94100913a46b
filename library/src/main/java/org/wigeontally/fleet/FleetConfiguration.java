package org.wigeontally.fleet;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/** An immutable version of the configuration that operators publish. */
public final class FleetConfiguration {

	private final long version;

	private final Map<String, List<Route>> routesByHost;

	private final Map<String, Service> services;

	// Services with engines for which streams of different priorities compete.
	private final Set<String> rankedServices;

	private final Optional<WeightOrigin> origin;

	private final ApiKeys apiKeys;

	private final CallerLimits limits;

	private FleetConfiguration(long version, Map<String, List<Route>> routesByHost, Map<String, Service> services,
			Optional<WeightOrigin> origin, ApiKeys apiKeys, CallerLimits limits) {
		this.version = version;
		this.routesByHost = routesByHost;
		this.services = services;
		this.rankedServices = findRankedServices(routesByHost, services);
		this.origin = origin;
		this.apiKeys = apiKeys;
		this.limits = limits;
	}

	/**
	 * Creates a configuration.
	 * @param version its version
	 * @param routes all routes
	 * @param services all services
	 * @param origin the origin of weights, if there is one
	 * @param apiKeys the organisations and their API keys
	 * @param limits limits on requests and connections of callers
	 * @return the configuration
	 */
	public static FleetConfiguration of(long version, List<Route> routes, List<Service> services,
			Optional<WeightOrigin> origin, ApiKeys apiKeys, CallerLimits limits) {
		Map<String, List<Route>> byHost = new HashMap<>();
		for (Route route : routes) {
			byHost.computeIfAbsent(route.host(), (host) -> new ArrayList<>()).add(route);
		}
		Comparator<Route> longestFirst = Comparator.comparingInt((Route route) -> route.pathPrefix().length());
		byHost.values().forEach((list) -> list.sort(longestFirst.reversed()));
		Map<String, Service> byName = new HashMap<>();
		for (Service service : services) {
			byName.put(service.name(), service);
		}
		return new FleetConfiguration(version, byHost, byName, origin, apiKeys, limits);
	}

	// Requests other than streams take no slots for long, so their priority is no reason
	// to keep slots free.
	private static Set<String> findRankedServices(Map<String, List<Route>> routesByHost,
			Map<String, Service> services) {
		Map<String, Set<Integer>> priorities = new HashMap<>();
		for (List<Route> routes : routesByHost.values()) {
			for (Route route : routes) {
				if (route.kind() == RequestKind.STREAM) {
					route.services()
						.forEach((weighted) -> priorities.computeIfAbsent(weighted.service(), (key) -> new HashSet<>())
							.add(route.priority()));
				}
			}
		}
		priorities.keySet().removeIf((name) -> !services.containsKey(name) || services.get(name).engine().isEmpty());
		priorities.values().removeIf((ranks) -> ranks.size() < 2);
		return Set.copyOf(priorities.keySet());
	}

	/**
	 * Returns the version.
	 * @return the version
	 */
	public long version() {
		return this.version;
	}

	/**
	 * Finds the route of a request.
	 * @param host host name that the caller used
	 * @param path path of the request, without its query
	 * @return the route with the longest matching prefix
	 */
	public Optional<Route> route(String host, String path) {
		for (Route route : this.routesByHost.getOrDefault(host, List.of())) {
			if (path.startsWith(route.pathPrefix())) {
				return Optional.of(route);
			}
		}
		return Optional.empty();
	}

	/**
	 * Returns the routes of a host name.
	 * @param host host name that callers use
	 * @return its routes, longest prefix first
	 */
	public List<Route> routes(String host) {
		return this.routesByHost.getOrDefault(host, List.of());
	}

	/**
	 * Finds a service.
	 * @param name its name
	 * @return the service
	 */
	public Optional<Service> service(String name) {
		return Optional.ofNullable(this.services.get(name));
	}

	/**
	 * Returns whether routes with different priorities compete for the engines of a
	 * service.
	 * @param service name of the service
	 * @return false if all its streams have the same priority, or it has no engines
	 */
	public boolean isRanked(String service) {
		return this.rankedServices.contains(service);
	}

	/**
	 * Returns all services.
	 * @return the services
	 */
	public Iterable<Service> services() {
		return this.services.values();
	}

	/**
	 * Returns the origin of weights.
	 * @return the origin, if there is one
	 */
	public Optional<WeightOrigin> origin() {
		return this.origin;
	}

	/**
	 * Returns the API keys of the organisations.
	 * @return the keys
	 */
	public ApiKeys apiKeys() {
		return this.apiKeys;
	}

	/**
	 * Returns the limits on requests and connections of callers.
	 * @return the limits
	 */
	public CallerLimits limits() {
		return this.limits;
	}

}
