package org.wigeontally.fleet;

import java.util.List;
import java.util.Optional;

/**
 * A route of the configuration.
 *
 * @param name name of the route
 * @param host host name that callers use
 * @param pathPrefix prefix of the paths, with a slash at both ends
 * @param kind kind of the requests, which decides whether they may be repeated
 * @param timeoutMs time within which the answer must be complete
 * @param targetMs target time to the answer, or to its first event
 * @param priority priority, 0 is the highest
 * @param services services that process the requests
 * @param maxAttempts maximum number of backend servers for one attempt of the caller
 * @param keyExempt true if requests need no API key
 * @param resumable true if a broken stream may be resumed at another backend server
 * @param regions regions that may serve the requests
 */
public record Route(String name, String host, String pathPrefix, RequestKind kind, long timeoutMs, long targetMs,
		int priority, List<WeightedService> services, int maxAttempts, boolean keyExempt, boolean resumable,
		AllowedRegions regions) {

	/**
	 * Returns whether a request that may have been executed may be sent again.
	 * @return true if it may
	 */
	public boolean isRetryable() {
		return this.kind == RequestKind.IDEMPOTENT || (this.kind == RequestKind.STREAM && this.resumable);
	}

	/**
	 * Picks the service of a request at random, in proportion to the weights.
	 * @param draw random number from 0 inclusive to 1 exclusive
	 * @return name of the service; empty if all weights are zero
	 */
	public Optional<String> pickService(double draw) {
		double totalWeight = 0;
		for (WeightedService weighted : this.services) {
			totalWeight += weighted.weight();
		}
		double remaining = draw * totalWeight;
		String picked = null;
		for (WeightedService weighted : this.services) {
			if (weighted.weight() <= 0) {
				continue;
			}
			picked = weighted.service();
			remaining -= weighted.weight();
			if (remaining < 0) {
				break;
			}
		}
		return Optional.ofNullable(picked);
	}

	/**
	 * A service and its weight among the services of a route.
	 *
	 * @param service name of the service
	 * @param weight share of the requests, relative to the sum of all weights
	 */
	public record WeightedService(String service, double weight) {

	}

}
