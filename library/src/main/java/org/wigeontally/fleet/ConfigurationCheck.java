package org.wigeontally.fleet;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;

import org.wigeontally.errors.ErrorType;
import org.wigeontally.errors.Findings;
import org.wigeontally.fleet.ConfigurationPlaces.Part;

/**
 * Checks a configuration that can be decoded for entries that have no effect and for
 * values that contradict each other. An error means that requests would be refused, or
 * that an entry would be ignored in favour of another one; a warning, that an entry may
 * be left over or is not used to the full.
 */
public final class ConfigurationCheck {

	private final ConfigurationEntries entries;

	private final ConfigurationPlaces places;

	private final Findings findings;

	private ConfigurationCheck(ConfigurationEntries entries, ConfigurationPlaces places, Findings findings) {
		this.entries = entries;
		this.places = places;
		this.findings = findings;
	}

	/**
	 * Checks a configuration.
	 * @param entries its entries
	 * @param places places of the entries
	 * @param findings collects the findings
	 */
	public static void check(ConfigurationEntries entries, ConfigurationPlaces places, Findings findings) {
		ConfigurationCheck check = new ConfigurationCheck(entries, places, findings);
		check.checkRoutes();
		check.checkServices();
		check.checkOrganisations();
		check.checkLimits();
	}

	/**
	 * Checks that entries would replace the configuration in force.
	 * @param entries entries of the configuration
	 * @param places places of the entries
	 * @param inForce version in force
	 * @param findings collects the finding
	 */
	public static void checkNewer(ConfigurationEntries entries, ConfigurationPlaces places, long inForce,
			Findings findings) {
		if (entries.version() <= inForce) {
			findings.add(places.place(Part.VERSION, 0), ErrorType.VERSION_NOT_NEWER, entries.version(), inForce);
		}
	}

	private void checkRoutes() {
		Map<List<String>, Route> routesByMatch = new HashMap<>();
		Set<String> services = this.entries.services().stream().map(Service::name).collect(Collectors.toSet());
		for (int i = 0; i < this.entries.routes().size(); i++) {
			Route route = this.entries.routes().get(i);
			Route hiding = routesByMatch.putIfAbsent(List.of(route.host(), route.pathPrefix()), route);
			if (hiding != null) {
				add(Part.ROUTE, i, ErrorType.HIDDEN_ROUTE, route.name(), hiding.name());
			}
			checkMatch(route, i);
			checkServicesOf(route, i, services);
			checkTimes(route, i);
			checkRegions(route, i);
		}
	}

	private void checkMatch(Route route, int index) {
		if (!route.host().equals(route.host().toLowerCase(Locale.ROOT))) {
			add(Part.ROUTE_HOST, index, ErrorType.UNMATCHED_HOST, route.name(), route.host());
		}
		if (!route.pathPrefix().startsWith("/")) {
			add(Part.ROUTE_PREFIX, index, ErrorType.UNMATCHED_PREFIX, route.name(), route.pathPrefix());
		}
		else if (!route.pathPrefix().endsWith("/")) {
			add(Part.ROUTE_PREFIX, index, ErrorType.OPEN_PREFIX, route.name(), route.pathPrefix());
		}
	}

	private void checkServicesOf(Route route, int index, Set<String> services) {
		if (route.services().stream().allMatch((weighted) -> weighted.weight() <= 0)) {
			add(Part.ROUTE_SERVICES, index, ErrorType.NO_WEIGHT, route.name());
		}
		for (Route.WeightedService weighted : route.services()) {
			if (!services.contains(weighted.service())) {
				add(Part.ROUTE_SERVICES, index, ErrorType.MISSING_SERVICE, route.name(), weighted.service());
			}
		}
	}

	private void checkTimes(Route route, int index) {
		// The default target may well be above the timeout; it then has no effect.
		if (route.targetMs() > route.timeoutMs() && this.places.isWritten(Part.ROUTE_TARGET, index)) {
			add(Part.ROUTE_TARGET, index, ErrorType.TARGET_OVER_TIMEOUT, route.name(), route.targetMs(),
					route.timeoutMs());
		}
		if (route.maxAttempts() > 1 && !route.isRetryable()) {
			add(Part.ROUTE_ATTEMPTS, index, ErrorType.UNUSED_ATTEMPTS, route.name(), route.maxAttempts());
		}
	}

	private void checkRegions(Route route, int index) {
		if (!this.entries.keysRequired() || route.keyExempt()) {
			return;
		}
		String excluded = this.entries.organisations()
			.stream()
			.map(ConfigurationEntries.KeyHolder::organisation)
			.filter((organisation) -> !organisation.regions().intersects(route.regions()))
			.map(Organisation::name)
			.collect(Collectors.joining(", "));
		if (!excluded.isEmpty()) {
			add(Part.ROUTE_REGIONS, index, ErrorType.NO_COMMON_REGION, route.name(), excluded);
		}
	}

	private void checkServices() {
		Set<String> usedServices = new HashSet<>();
		this.entries.routes()
			.forEach((route) -> route.services().forEach((weighted) -> usedServices.add(weighted.service())));
		Set<String> names = new HashSet<>();
		for (int i = 0; i < this.entries.services().size(); i++) {
			Service service = this.entries.services().get(i);
			if (!names.add(service.name())) {
				add(Part.SERVICE, i, ErrorType.DUPLICATE_NAME, "service", service.name());
			}
			if (!usedServices.contains(service.name())) {
				add(Part.SERVICE, i, ErrorType.UNUSED_SERVICE, service.name());
			}
			if (service.engine().filter((engine) -> engine.batchSlots() == 0).isPresent()) {
				add(Part.SERVICE_SLOTS, i, ErrorType.NO_SLOTS, service.name());
			}
		}
	}

	// Messages name no keys, since the output may be kept where keys may not.
	private void checkOrganisations() {
		Map<String, String> ownersByKey = new HashMap<>();
		for (int i = 0; i < this.entries.organisations().size(); i++) {
			ConfigurationEntries.KeyHolder holder = this.entries.organisations().get(i);
			String name = holder.organisation().name();
			if (holder.keys().stream().allMatch(String::isEmpty)) {
				add(Part.ORGANISATION, i, ErrorType.NO_API_KEY, name);
			}
			Set<String> otherOwners = new HashSet<>();
			for (String key : holder.keys()) {
				String owner = key.isEmpty() ? null : ownersByKey.putIfAbsent(key, name);
				if (owner != null && otherOwners.add(owner)) {
					add(Part.ORGANISATION_KEYS, i, ErrorType.SHARED_API_KEY, name, owner);
				}
			}
		}
	}

	private void checkLimits() {
		for (CallerLimit limit : CallerLimit.values()) {
			if (limit.of(this.entries.limits()) == 0) {
				this.findings.add(this.places.place(limit), ErrorType.ZERO_LIMIT, limit.label());
			}
		}
	}

	private void add(Part part, int index, ErrorType type, Object... arguments) {
		this.findings.add(this.places.place(part, index), type, arguments);
	}

}
