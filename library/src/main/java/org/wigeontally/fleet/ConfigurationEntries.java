package org.wigeontally.fleet;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/**
 * The entries of a configuration in the order in which operators wrote them, including
 * those that others hide.
 *
 * @param version version of the configuration
 * @param routes the routes
 * @param services the services
 * @param origin the origin of weights, if there is one
 * @param keysRequired whether requests need an API key
 * @param organisations the organisations with their API keys
 * @param limits limits on requests and connections of callers
 */
public record ConfigurationEntries(long version, List<Route> routes, List<Service> services,
		Optional<WeightOrigin> origin, boolean keysRequired, List<KeyHolder> organisations, CallerLimits limits) {

	/**
	 * Returns the configuration that requests are served by.
	 * @return the configuration
	 */
	public FleetConfiguration toConfiguration() {
		Map<String, Organisation> organisationsByKey = new HashMap<>();
		for (KeyHolder holder : this.organisations) {
			holder.keys().forEach((key) -> organisationsByKey.put(key, holder.organisation()));
		}
		ApiKeys apiKeys = this.keysRequired ? ApiKeys.required(organisationsByKey) : ApiKeys.notRequired();
		return FleetConfiguration.of(this.version, this.routes, this.services, this.origin, apiKeys, this.limits);
	}

	/**
	 * An organisation and its API keys.
	 *
	 * @param organisation the organisation
	 * @param keys its keys
	 */
	public record KeyHolder(Organisation organisation, Set<String> keys) {

	}

}
